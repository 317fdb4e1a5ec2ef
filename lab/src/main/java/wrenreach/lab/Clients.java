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
    private int mailCount;
    private int port = 1024;

    Clients(World world, int destinations, List<Scenario.QueueClass> classes) {
        this.world = world;
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
        PendingRequest pending = new PendingRequest(mail, id, node);
        world.scheduleIn(REPLY_TIMEOUT_NS, pending::timedOut);
        world.network.connect(party, new InetSocketAddress("127.0.0.1", 1024 + port++ % 60_000), node.address,
                new Network.ConnectHandler() {
            @Override public Network.End opened(Network.Link link) {
                pending.link = link;
                if (pending.finished) {
                    link.close(null);
                } else {
                    // Sent by an event of its own: the link knows its end only after this method has returned.
                    world.scheduleAt(world.now(), () -> link.send(pending, request.toString().getBytes(StandardCharsets.US_ASCII)));
                }
                return pending;
            }

            @Override public void refused() {
                pending.answered("NONE", 50);
            }
        });
    }

    /** One request in flight. */
    private final class PendingRequest implements Network.End {
        private final Mail mail;
        private final String id;
        private final FleetNode node;
        private final StringBuilder text = new StringBuilder();
        private Network.Link link;
        private boolean finished;

        PendingRequest(Mail mail, String id, FleetNode node) {
            this.mail = mail;
            this.id = id;
            this.node = node;
        }

        @Override public void received(byte[] bytes) {
            text.append(new String(bytes, StandardCharsets.US_ASCII));
            if (text.indexOf("\r\n") > 0) {
                String line = text.substring(0, text.indexOf("\r\n"));
                if (line.startsWith("+")) {
                    answered("OK", 0);
                } else if (line.startsWith("-BUSY")) {
                    String[] words = line.split(" ");
                    answered("BUSY", Math.max(20, words.length > 1 ? Integer.parseInt(words[1]) : 100));
                } else {
                    answered("ERR", 0);
                }
            }
        }

        @Override public void closed() {
            answered("NONE", 50);
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
            if (link != null) {
                link.close(this);
            }
            if (answer.equals("OK") || answer.equals("ERR")) {
                finish(mail);
            } else {
                world.scheduleIn((againMs + world.nextIntBelow(1 + againMs / 2)) * NS_PER_MS, () -> submit(mail));
            }
        }
    }
}
