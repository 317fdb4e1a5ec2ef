package wrenreach.wirehost;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.api.SettingsText;
import wrenreach.wire.Event;
import wrenreach.wire.FrameReader;
import wrenreach.wire.ReplyWriter;
import wrenreach.wire.WireException;

/**
 * Runs many delivery nodes over the simulator's binary protocol: reads batches of events, passes them to the nodes' dispatchers and
 * answers each batch with one frame of actions. For one thread.
 */
public final class WireHost {
    private final FrameReader in;
    private final OutputStream out;
    private final PrintStream err;
    private final Function<Settings, Dispatcher> dispatcherFactory;
    /** The hosts of each manifest, by roster number. */
    private final Map<Integer, List<Event.Host>> rosters = new HashMap<>();
    private final Map<Integer, Node> nodes = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    /** Nodes that events of the current batch concern: only these are asked for actions. */
    private final Set<Node> affectedNodes = new LinkedHashSet<>();
    /** How many nodes have been enlisted; the number tells the incarnations of a node apart. */
    private int incarnations;

    public WireHost(InputStream in, OutputStream out, PrintStream err, Function<Settings, Dispatcher> dispatcherFactory) {
        this.in = new FrameReader(new BufferedInputStream(in, 1 << 16));
        this.out = new BufferedOutputStream(out, 1 << 16);
        this.err = err;
        this.dispatcherFactory = dispatcherFactory;
    }

    /** Serves until the end of input. Returns the exit code: 0, or 1 after malformed input or a failed read or write. */
    public int run() {
        try {
            for (Event.Batch batch = in.read(); batch != null; batch = in.read()) {
                handle(batch);
                reply.writeTo(out);
            }
            return 0;
        } catch (WireException e) {
            err.println("wirehost: " + e.getMessage());
        } catch (IOException e) {
            err.println("wirehost: input or output failed: " + e.getMessage());
        }
        return 1;
    }

    private void handle(Event.Batch batch) throws WireException {
        affectedNodes.clear();
        for (int i = 0; i < batch.events().size(); i++) {
            Event event = batch.events().get(i);
            if (event instanceof Event.Enlist enlist) {
                enlist(enlist);
            } else if (event instanceof Event.Manifest manifest) {
                rosters.put(manifest.roster(), manifest.hosts());
            } else if (event instanceof Event.Stop stop) {
                affectedNodes.remove(nodes.remove(stop.node()));
            } else if (event instanceof Event.View view) {
                List<Event.Host> hosts = view.scope() == 3 ? List.of() : rosters.get(view.roster());
                if (hosts == null) {
                    throw new WireException("record " + i + " (view): RosterId names list " + view.roster()
                            + ", expected the number of a manifest sent before");
                }
                deliver(view.node(), node -> node.view(view, hosts, batch.clock()));
            } else {
                dispatch(event, batch.clock());
            }
        }
        for (Node node : new ArrayList<>(affectedNodes)) {
            runGuarded(node, n -> n.collectNextActions(batch.clock()));
            if (affectedNodes.contains(node)) {
                node.writeActions(reply);
            }
        }
    }

    private void dispatch(Event event, long now) {
        if (event instanceof Event.Req req) {
            deliver(req.node(), node -> node.req(req, now));
        } else if (event instanceof Event.Response response) {
            deliver(response.node(), node -> node.response(response, now));
        } else if (event instanceof Event.Cancelled cancelled) {
            deliver(cancelled.node(), node -> node.cancelled(cancelled, now));
        } else if (event instanceof Event.Ring ring) {
            deliver(ring.node(), node -> { });
        }
    }

    /** Starts a new incarnation of a node; one that is still there is dropped. */
    private void enlist(Event.Enlist enlist) {
        affectedNodes.remove(nodes.remove(enlist.node()));
        try {
            Settings settings = SettingsText.read(enlist.conf(), enlist.seed());
            Node node = new Node(enlist.node(), ++incarnations, dispatcherFactory.apply(settings));
            nodes.put(enlist.node(), node);
            affectedNodes.add(node);
        } catch (RuntimeException e) {
            reportFault(enlist.node(), e);
        }
    }

    /** Passes an event to a node; events for a node that is not enlisted are dropped. */
    private void deliver(int number, java.util.function.Consumer<Node> action) {
        Node node = nodes.get(number);
        if (node != null) {
            affectedNodes.add(node);
            runGuarded(node, action);
        }
    }

    /** Runs an action on a node; a node whose dispatcher throws is removed and reported as faulty, and the other nodes go on. */
    private void runGuarded(Node node, java.util.function.Consumer<Node> action) {
        try {
            action.accept(node);
        } catch (RuntimeException e) {
            nodes.remove(node.number);
            affectedNodes.remove(node);
            reportFault(node.number, e);
        }
    }

    private void reportFault(int number, RuntimeException e) {
        e.printStackTrace(err);
        String text = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
        reply.fault(number, text);
    }
}
