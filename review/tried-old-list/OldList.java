import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A planned restart, while which an endpoint is replaced, and discovery is down when the node is back: no message may go to an endpoint of
 * another destination.
 */
final class OldList {
    private static final double OUTAGE_MS = 8000;
    private static final double KILL_AFTER_TERM_MS = 3700;
    private static final double START_AFTER_KILL_MS = 600;

    private OldList() { }

    public static void main(String[] args) {
        Stand.main(OldList::play);
    }

    private static boolean play(Path folder, List<Stand.Node> nodes) throws Exception {
        Stand.Platform platform = new Stand.Platform();
        Stand.Receiver first = new Stand.Receiver("address-1");
        Stand.Receiver second = new Stand.Receiver("address-2");
        Stand.Receiver third = new Stand.Receiver("address-3");
        platform.put(new Stand.Entry("s-1", first.address(), "local-yard", 1, "SERVING", 20),
                new Stand.Entry("s-2", second.address(), "local-yard", 2, "SERVING", 20));
        Stand.Node node = new Stand.Node("n1", folder);
        nodes.add(node);
        node.configure(platform, Stand.settings(Map.of(), 256, 10), Stand.LIMITS);
        node.start();
        node.awaitReady(30_000);
        Set<String> forDestination1 = new LinkedHashSet<>();
        for (int i = 0; i < 10; i++) {
            handIn(node, 100 + i, 1 + i % 2, forDestination1);
            Stand.sleep(100);
        }
        Stand.sleep(500);

        // The planned restart.
        double termAt = Stand.now();
        node.signal("TERM");
        Stand.sleepUntil(termAt + 2000);
        Stand.note("the endpoint of destination 1 is replaced, and a new endpoint of destination 2 has its address");
        platform.put(new Stand.Entry("s-1", first.address(), "local-yard", 1, "DELETED", 20),
                new Stand.Entry("s-3", third.address(), "local-yard", 1, "SERVING", 20),
                new Stand.Entry("s-4", first.address(), "local-yard", 2, "SERVING", 20));
        Stand.sleepUntil(termAt + 3000);
        double outageAt = Stand.now();
        if (Stand.TROUBLE) {
            Stand.note("discovery goes down for %.0f ms", OUTAGE_MS);
            platform.down = true;
            Stand.thread("outage", () -> {
                Stand.sleepUntil(outageAt + OUTAGE_MS);
                platform.down = false;
                Stand.note("discovery is back");
            });
        }
        Stand.sleepUntil(termAt + KILL_AFTER_TERM_MS);
        node.kill();
        Stand.sleep(START_AFTER_KILL_MS);
        double startedAt = Stand.now();
        node.start();
        node.awaitReady(30_000);
        int i = 0;
        while (Stand.now() < outageAt + OUTAGE_MS + 2000) {
            handIn(node, 200 + i++, 1, forDestination1);
            Stand.sleep(200);
        }
        Stand.sleep(3000);
        long wrong = first.calls.stream().filter(call -> call.at() > startedAt && forDestination1.contains(call.id())).count();
        double firstAt = first.calls.stream().filter(call -> call.at() > startedAt && forDestination1.contains(call.id())).mapToDouble(Stand.Call::at).min()
                .orElse(startedAt);
        Stand.say("after the restart %d messages for destination 1: %d called at an endpoint of destination 2 (the first %.0f ms after the process began), "
                + "%d at the endpoint of destination 1", i, wrong, firstAt - startedAt, third.calls.size());
        if (third.calls.isEmpty()) {
            throw new Stand.CannotRun("nothing came to the new endpoint");
        }
        return wrong == 0;
    }

    private static void handIn(Stand.Node node, int number, int destination, Set<String> forDestination1) throws IOException {
        String id = Stand.hex(number);
        if (destination == 1) {
            forDestination1.add(id);
        }
        try (Stand.Client client = new Stand.Client(node.listen)) {
            String reply = client.ask(Stand.Client.enqueue(Stand.hex(70_000 + number), id, "c=order-send,t=taichung-branch,d=28000,k=" + Stand.hex(90_000 + number)
                    + ",dest=" + destination, Stand.bytes("order " + number)));
            Stand.note("client: %s for destination %d answered %s", id, destination, reply);
        }
    }
}
