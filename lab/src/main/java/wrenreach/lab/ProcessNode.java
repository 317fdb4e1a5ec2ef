package wrenreach.lab;

import io.netty.channel.EventLoop;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import wrenreach.node.DeliveryNode;

/**
 * A delivery node as operators run it: a process of its own, `serve` on a config file and a state folder. It is known by its
 * process id and ended by it.
 */
final class ProcessNode extends FleetNode {
    /** When the platform starts a process again that has ended by itself; between two looks whether it listens. */
    private static final long RESTART = 500_000_000, LOOK = 20_000_000;
    private static final String OPERATOR = "operator.toml";
    /** Options as small machines have them. */
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-Xms24m", "-Xmx48m", "-XX:MaxDirectMemorySize=68m",
            "-XX:TieredStopAtLevel=1");

    private final World world;
    private final EventLoop loop;
    private final Path folder;
    private final Network.Party looks = new Network.Party("looks");
    private Process process;
    private boolean serves;
    private boolean over;
    private long restartAfter;

    ProcessNode(World world, EventLoop loop, String name, InetSocketAddress address, String json, boolean store,
            Path folder) {
        super(name, address);
        this.world = world;
        this.loop = loop;
        this.folder = folder;
        try {
            Files.createDirectories(folder.resolve("state"));
            Files.writeString(folder.resolve("config.json"), json);
            if (store) {
                Files.writeString(folder.resolve(OPERATOR), "[store]\ndurability = \"sync\"\n");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override boolean up() {
        return process != null && process.isAlive();
    }

    @Override void start() {
        if (over) {
            return;
        }
        restartAfter = RESTART;
        serves = false;
        List<String> words = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        words.addAll(OPTIONS);
        words.addAll(List.of("-cp", classPath(), "wrenreach.app.Launch", "serve", "--config",
                folder.resolve("config.json").toString(), "--state", folder.resolve("state").toString()));
        if (Files.exists(folder.resolve(OPERATOR))) {
            words.addAll(List.of("--operator", folder.resolve(OPERATOR).toString()));
        }
        try {
            process = new ProcessBuilder(words).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile())).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Process started = process;
        process.onExit().thenRun(() -> {
            if (!loop.isShuttingDown()) {
                loop.execute(() -> ended(started));
            }
        });
        world.later(LOOK, () -> look(started));
    }

    /** The project's jar, or what this process runs on where it runs on no jar. */
    private static String classPath() {
        try {
            File own = new File(DeliveryNode.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            return own.getName().equals("wrenreach.jar") ? own.getPath() : System.getProperty("java.class.path");
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private void look(Process started) {
        if (started != process || !started.isAlive() || serves) {
            return;
        }
        world.network.connect(looks, null, address, new Network.Connecting() {
            @Override public Network.End opened(Network.Link link) {
                link.close(null);
                if (!serves && started == process) {
                    serves = true;
                    world.record(new Fact.Serves(world.now(), name));
                }
                return null;
            }

            @Override public void refused() {
                world.later(LOOK, () -> look(started));
            }
        });
    }

    private void ended(Process started) {
        if (over || started != process) {
            return;
        }
        world.record(new Fact.Died(world.now(), name));
        if (restartAfter > 0) {
            world.later(restartAfter, () -> {
                if (!up()) {
                    start();
                }
            });
        }
    }

    /** Whether it has served since its last start. */
    boolean serves() {
        return serves;
    }

    @Override void kill() {
        if (up()) {
            restartAfter = 0;
            process.destroyForcibly();
        }
    }

    @Override void stop(long startsAfter) {
        if (up()) {
            restartAfter = startsAfter;
            process.destroy();
        }
    }

    /** Ends the process for good. */
    void end() {
        over = true;
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
