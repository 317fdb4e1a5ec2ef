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
 * Entry point of a process. The jar holds what every node needs; subsystems and the libraries that only they use are in
 * the folder parts/ beside it. A node that enables no subsystem never opens them, which keeps its start fast and its memory small.
 * A process that needs them runs on one flat class path with all jars.
 */
public final class Launch {
    /** A class of the parts: where it is on the class path, all parts are. */
    private static final String PARTS_MARKER_CLASS = "com/fasterxml/jackson/dataformat/toml/TomlMapper.class";
    /** The class that runs a command line, loaded by name through the class loader of all jars. */
    private static final String MAIN_CLASS = "wrenreach.app.Main";
    /** Its method that takes the command line. */
    private static final String RUN_METHOD = "run";

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

    /** Returns this jar and then those of the folder parts, sorted by path. */
    private static URL[] jars() throws IOException, URISyntaxException {
        Path ownJar = Path.of(Launch.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        List<URL> jars = new ArrayList<>();
        jars.add(ownJar.toUri().toURL());
        try (Stream<Path> parts = Files.list(ownJar.resolveSibling("parts"))) {
            for (Path part : parts.filter(path -> path.toString().endsWith(".jar")).sorted(Comparator.naturalOrder()).toList()) {
                jars.add(part.toUri().toURL());
            }
        }
        return jars.toArray(URL[]::new);
    }
}
