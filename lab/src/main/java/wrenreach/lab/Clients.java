package wrenreach.lab;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients behind a load balancer. Mails arrive at a rate that does not depend on the replies (open loop). Each waits 400 ms for its reply; after a
 * refusal or no reply it is submitted again under a new id until its deadline. The next mail of a key waits for the reply to the one before.
 * The load balancer notices with a delay that a node is down.
 */
final class Clients {
    private static final long NS_PER_MS = 1_000_000;
    /** How long a client waits for the reply to a submission, in nanoseconds. */
    private static final long REPLY_TIMEOUT_NS = 400 * NS_PER_MS;
    /** How long after a node went down the load balancer still sends requests to it, in nanoseconds. */
    private static final long FAILOVER_DELAY_NS = 1500 * NS_PER_MS;
    /** Number of order keys per node, so that each node gets some. */
    private static final int KEYS_PER_NODE = 20;

    private final class Mail {
        final String idPrefix;
        final int queueClass;
        final int destination;
        final String key;
        final long deadline;
        int submissions;

        Mail(String base, int queueClass, int destination, String key, long until) {
            this.idPrefix = base;
            this.queueClass = queueClass;
            this.destination = destination;
            this.key = key;
            this.deadline = until;
        }
    }

    private final World world;
    private final int destinations;
    private final List<Scenario.QueueClass> classes;
    private final int shareSum;
    private final Network.Party party = new Network.Party("clients");
    private final Map<String, Deque<Mail>> queuesByKey = new HashMap<>();
    private final Map<String, Long> diedAt = new HashMap<>();
    /** Idle connections to each node, where they are kept. */
    private final Map<String, Deque<ClientConnection>> idleConnections = new HashMap<>();
    private final boolean keepsConnections;
    private int mailCount;
    private int port = 1024;

    /** keepsConnections: whether they submit on the connections that they have for as long as these stay open, or each mail on its own. */
    Clients(World world, int destinations, List<Scenario.QueueClass> classes, boolean keepsConnections) {
        this.world = world;
        this.keepsConnections = keepsConnections;
        this.destinations = destinations;
        this.classes = classes;
        shareSum = classes.stream().mapToInt(Scenario.QueueClass::share).sum();
    }

    /** Submits mails at this rate per second, with exponentially distributed intervals, until that time. */
    void submitMails(double rate, long until) {
        long next = world.now() + world.nextExponential(1e9 / rate);
        if (next < until) {
            world.scheduleAt(next, () -> {
                String key = "k" + world.nextIntBelow(KEYS_PER_NODE * world.nodes.size());
                int queueClass = drawClass();
                Mail mail = new Mail("m" + mailCount++, queueClass, world.nextIntBelow(destinations), key,
                        world.now() + classes.get(queueClass).lifetimeMs() * NS_PER_MS);
                Deque<Mail> queue = queuesByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
                queue.addLast(mail);
                if (queue.size() == 1) {
                    submit(mail);
                }
                submitMails(rate, until);
            });
        }
    }

    private int drawClass() {
        int drawn = classes.size() > 1 ? world.nextIntBelow(shareSum) : 0;
        int queueClass = 0;
        while (drawn >= classes.get(queueClass).share()) {
            drawn -= classes.get(queueClass++).share();
        }
        return queueClass;
    }

    private FleetNode chooseNode(String key) {
        List<FleetNode> available = new ArrayList<>();
        for (FleetNode node : world.nodes) {
            if (node.up()) {
                diedAt.remove(node.name);
            } else {
                diedAt.putIfAbsent(node.name, world.now());
            }
            if (node.up() || world.now() - diedAt.get(node.name) < FAILOVER_DELAY_NS) {
                available.add(node);
            }
        }
        // A key stays with its own node while that one is available.
        List<FleetNode> candidates = available.isEmpty() ? world.nodes : available;
        FleetNode own = world.nodes.get(Math.floorMod(key.hashCode(), world.nodes.size()));
        return candidates.contains(own) ? own : candidates.get(Math.floorMod(key.hashCode(), candidates.size()));
    }

    private void finish(Mail mail) {
        Deque<Mail> queue = queuesByKey.get(mail.key);
        queue.remove(mail);
        if (!queue.isEmpty()) {
            submit(queue.peekFirst());
        }
    }

    private void submit(Mail mail) {
        long remainingMs = (mail.deadline - world.now()) / NS_PER_MS;
        if (remainingMs <= 0) {
            finish(mail);
            return;
        }
        String id = mail.idPrefix + "." + mail.submissions++;
        FleetNode node = chooseNode(mail.key);
        world.record(new Fact.HandedIn(world.now(), id, node.name, mail.queueClass, mail.destination, mail.key, mail.idPrefix, mail.deadline));
        String fields = "c=" + classes.get(mail.queueClass).name() + ",t=shop,d=" + remainingMs + ",k=" + mail.idPrefix + ",dest=" + mail.destination
                + (mail.submissions > 1 ? ",r=1" : "");
        StringBuilder request = new StringBuilder("*5\r\n");
        for (String word : List.of("ENQUEUE", mail.key, id, fields, "body of " + id)) {
            request.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        PendingRequest pending = new PendingRequest(mail, id, node, request.toString());
        world.scheduleIn(REPLY_TIMEOUT_NS, pending::timedOut);
        ClientConnection idle = idleConnections.getOrDefault(node.name, new ArrayDeque<>()).pollLast();
        if (idle != null) {
            pending.sendOn(idle);
        } else {
            connect(pending);
        }
    }

    private InetSocketAddress nextOwnAddress() {
        return new InetSocketAddress("127.0.0.1", 1024 + port++ % 60_000);
    }

    private void connect(PendingRequest pending) {
        world.network.connect(party, nextOwnAddress(), pending.node.address, new Network.ConnectHandler() {
            @Override public Network.End opened(Network.Link link) {
                ClientConnection connection = new ClientConnection(link, pending.node);
                if (pending.finished) {
                    link.close(null);
                } else {
                    // Sent by an event of its own: the link knows its end only after this method has returned.
                    connection.current = pending;
                    pending.connection = connection;
                    world.scheduleAt(world.now(), () -> link.send(connection, pending.bytes()));
                }
                return connection;
            }

            @Override public void refused() {
                pending.answered("NONE", 50);
            }
        });
    }

    /** Opens connections to a node that ask nothing, and closes those that are left after this time in nanoseconds. */
    void openCrowd(FleetNode node, int size, long length) {
        for (int i = 0; i < size; i++) {
            world.network.connect(party, nextOwnAddress(), node.address, new Network.ConnectHandler() {
                @Override public Network.End opened(Network.Link link) {
                    ClientConnection connection = new ClientConnection(link, node);
                    world.scheduleIn(length, connection::close);
                    return connection;
                }

                @Override public void refused() { }
            });
        }
    }

    /** A connection to a node, which carries one request at a time. */
    private final class ClientConnection implements Network.End {
        private final Network.Link link;
        private final FleetNode node;
        private final StringBuilder text = new StringBuilder();
        private PendingRequest current;
        private boolean open = true;
        /** Whether it has carried a request before the current one. */
        private boolean used;

        ClientConnection(Network.Link link, FleetNode node) {
            this.link = link;
            this.node = node;
        }

        @Override public void received(byte[] bytes) {
            text.append(new String(bytes, StandardCharsets.US_ASCII));
            int end = text.indexOf("\r\n");
            if (end > 0 && current != null) {
                String line = text.substring(0, end);
                text.delete(0, end + 2);
                current.received(line);
            }
        }

        @Override public void closed() {
            open = false;
            idleConnections.getOrDefault(node.name, new ArrayDeque<>()).remove(this);
            if (current != null) {
                current.connectionClosed();
            }
        }

        void close() {
            if (open) {
                open = false;
                link.close(this);
            }
        }

        /** The request on it has ended: the connection is kept for the next one, or closed where its reply may still come. */
        void release(boolean answered) {
            current = null;
            used = true;
            if (answered && keepsConnections && open) {
                idleConnections.computeIfAbsent(node.name, name -> new ArrayDeque<>()).addLast(this);
            } else {
                close();
            }
        }
    }

    /** One request in flight. */
    private final class PendingRequest {
        private final Mail mail;
        private final String id;
        private final FleetNode node;
        private final String text;
        private ClientConnection connection;
        private boolean finished;

        PendingRequest(Mail mail, String id, FleetNode node, String text) {
            this.mail = mail;
            this.id = id;
            this.node = node;
            this.text = text;
        }

        byte[] bytes() {
            return text.getBytes(StandardCharsets.US_ASCII);
        }

        void sendOn(ClientConnection idle) {
            connection = idle;
            idle.current = this;
            idle.link.send(idle, bytes());
        }

        void received(String line) {
            if (line.startsWith("+")) {
                answered("OK", 0);
            } else if (line.startsWith("-BUSY")) {
                String[] words = line.split(" ");
                answered("BUSY", Math.max(20, words.length > 1 ? Integer.parseInt(words[1]) : 100));
            } else {
                answered("ERR", 0);
            }
        }

        /** A node may close a connection that was kept before it has read the request, which is then sent once more on a new one. */
        void connectionClosed() {
            if (connection.used && !finished) {
                connection = null;
                connect(this);
            } else {
                answered("NONE", 50);
            }
        }

        void timedOut() {
            answered("NONE", 0);
        }

        /** Ends the request. againMs: delay in milliseconds until the next submission after a refusal or no reply; it gets a jitter of up to half. */
        void answered(String answer, int againMs) {
            if (finished) {
                return;
            }
            finished = true;
            world.record(new Fact.Answered(world.now(), id, node.name, answer));
            if (connection != null) {
                connection.release(!answer.equals("NONE"));
            }
            if (answer.equals("OK") || answer.equals("ERR")) {
                finish(mail);
            } else {
                world.scheduleIn((againMs + world.nextIntBelow(1 + againMs / 2)) * NS_PER_MS, () -> submit(mail));
            }
        }
    }
}
