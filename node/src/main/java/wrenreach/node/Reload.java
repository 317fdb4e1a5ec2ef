package wrenreach.node;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import wrenreach.net.Addresses;

/**
 * What a node does on SIGHUP: the config is read again and its discovery address holds from then on. All else in it
 * needs a restart. A file that can't be used changes nothing.
 */
public final class Reload {
    private static final System.Logger LOG = System.getLogger(Reload.class.getName());

    private final Path file;
    private Consumer<InetSocketAddress> moved;
    private boolean early;

    public Reload(Path file) {
        this.file = file;
    }

    /** Who is told of the address from now on. Guards a signal that came before there was a node to tell. */
    public synchronized void tell(Consumer<InetSocketAddress> host) {
        moved = host;
        if (early) {
            signalled();
        }
    }

    /**
     * One signal, on a thread of its own: reading blocks, which the node's loop must not. Synchronized, as several
     * signals in a row may each have a thread: the last to read is the last to tell.
     */
    public synchronized void signalled() {
        if (moved == null) {
            early = true;
            return;
        }
        try {
            InetSocketAddress discovery = Config.read(file, Map.of()).discovery();
            LOG.log(Level.INFO, "config read again: discovery is {0}", Addresses.text(discovery));
            moved.accept(discovery);
        } catch (Config.Unusable e) {
            LOG.log(Level.WARNING, "reload: {0}; all stays as it was", e.getMessage());
        }
    }
}
