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
 * Clients behind a front: mails come whatever becomes of those before (open loop), each waits 400 ms for its answer, is
 * handed in again under a new id after a refusal or silence while its time lasts, and a key's next waits for the answer
 * of the one before. The front notices late that a node has died.
 */
final class Clients {
    private static final long NS_PER_MS = 1_000_000, REPLY_TIMEOUT_NS = 400 * NS_PER_MS, FAILOVER_DELAY_NS = 1500 * NS_PER_MS;
    /** Keys a node: so that each of them has some. */
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

    /** Hands in mails at this rate (a second) until that instant. */
    void submitMails(double rate, long until) {
        long next = world.now() + world.nextExponential(1e9 / rate);
        if (next < until) {
            world.scheduleAt(next, () -> {
                String key = "k" + world.nextIntBelow(KEYS_PER_NODE * world.nodes.size());
                int queueClass = drawClass();
                Mail mail = new Mail("m" + mailCount++, queueClass, world.nextIntBelow(destinations), key,
                        world.now() + classes.get(queueClass).lifetimeMs() * NS_PER_MS);
                Deque<Mail> line = queuesByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
                line.addLast(mail);
                if (line.size() == 1) {
                    submit(mail);
                }
                submitMails(rate, until);
            });
        }
    }

    private int drawClass() {
        int at = classes.size() > 1 ? world.nextIntBelow(shareSum) : 0;
        int queueClass = 0;
        while (at >= classes.get(queueClass).share()) {
            at -= classes.get(queueClass++).share();
        }
        return queueClass;
    }

    private FleetNode chooseNode(String key) {
        List<FleetNode> known = new ArrayList<>();
        for (FleetNode node : world.nodes) {
            if (node.up()) {
                diedAt.remove(node.name);
            } else {
                diedAt.putIfAbsent(node.name, world.now());
            }
            if (node.up() || world.now() - diedAt.get(node.name) < FAILOVER_DELAY_NS) {
                known.add(node);
            }
        }
        // A key keeps to its node while that one is there.
        List<FleetNode> from = known.isEmpty() ? world.nodes : known;
        FleetNode own = world.nodes.get(Math.floorMod(key.hashCode(), world.nodes.size()));
        return from.contains(own) ? own : from.get(Math.floorMod(key.hashCode(), from.size()));
    }

    private void finish(Mail mail) {
        Deque<Mail> line = queuesByKey.get(mail.key);
        line.remove(mail);
        if (!line.isEmpty()) {
            submit(line.peekFirst());
        }
    }

    private void submit(Mail mail) {
        long left = (mail.deadline - world.now()) / NS_PER_MS;
        if (left <= 0) {
            finish(mail);
            return;
        }
        String id = mail.idPrefix + "." + mail.submissions++;
        FleetNode node = chooseNode(mail.key);
        world.record(new Fact.HandedIn(world.now(), id, node.name, mail.queueClass, mail.destination, mail.key, mail.idPrefix, mail.deadline));
        String fields = "c=" + classes.get(mail.queueClass).name() + ",t=shop,d=" + left + ",k=" + mail.idPrefix + ",dest=" + mail.destination
                + (mail.submissions > 1 ? ",r=1" : "");
        StringBuilder request = new StringBuilder("*5\r\n");
        for (String word : List.of("ENQUEUE", mail.key, id, fields, "body of " + id)) {
            request.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        PendingRequest waiting = new PendingRequest(mail, id, node);
        world.scheduleIn(REPLY_TIMEOUT_NS, waiting::timedOut);
        world.network.connect(party, new InetSocketAddress("127.0.0.1", 1024 + port++ % 60_000), node.address,
                new Network.ConnectHandler() {
            @Override public Network.End opened(Network.Link link) {
                waiting.link = link;
                if (waiting.finished) {
                    link.close(null);
                } else {
                    // The end is known to the link once this returns.
                    world.scheduleAt(world.now(), () -> link.send(waiting, request.toString().getBytes(StandardCharsets.US_ASCII)));
                }
                return waiting;
            }

            @Override public void refused() {
                waiting.answered("NONE", 50);
            }
        });
    }

    /** One request under way. */
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

        /** againMs: when to hand in again after a refusal or silence. */
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
