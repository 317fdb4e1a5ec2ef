package wrenreach.app;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Where a process starts. The jar holds what every node needs; subsystems and the libraries that only they use lie in
 * the folder parts/ beside it. Guards the start and the memory of a node that switches nothing on: it never opens them.
 * A process that needs them runs on one flat class path of all.
 */
public final class Launch {
    /** A class of the parts: where it can be seen, so can they all. */
    private static final String PARTS_MARKER_CLASS = "com/fasterxml/jackson/dataformat/toml/TomlMapper.class";
    private static final String MAIN_CLASS = "wrenreach.app.Main", RUN_METHOD = "run";

    private Launch() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        if (!Main.needsParts(args, System.getenv()) || Launch.class.getClassLoader().getResource(PARTS_MARKER_CLASS) != null) {
            return Main.run(args, System.getenv());
        }
        try {
            URLClassLoader all = new URLClassLoader("wrenreach", jars(), ClassLoader.getPlatformClassLoader());
            Thread.currentThread().setContextClassLoader(all);
            return (int) all.loadClass(MAIN_CLASS).getMethod(RUN_METHOD, String[].class).invoke(null, (Object) args);
        } catch (IOException | URISyntaxException e) {
            System.err.println("wrenreach: the folder parts beside the jar can't be used: " + e.getMessage());
            return 2;
        } catch (InvocationTargetException e) {
            throw new IllegalStateException(e.getCause());
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private static URL[] jars() throws IOException, URISyntaxException {
        Path own = Path.of(Launch.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<URL> jars = new ArrayList<>();
        jars.add(own.toUri().toURL());
        try (Stream<Path> parts = Files.list(own.resolveSibling("parts"))) {
            for (Path part : parts.filter(one -> one.toString().endsWith(".jar")).sorted(Comparator.naturalOrder()).toList()) {
                jars.add(part.toUri().toURL());
            }
        }
        return jars.toArray(URL[]::new);
    }
}
