package review2;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A restart while an endpoint is replaced and its address passes on, where lists come only when asked for. */
final class AskedList {
    private static final int MESSAGES = 40;

    private AskedList() { }

    public static void main(String[] args) {
        Scene.play(AskedList::play);
    }

    private static boolean play(Scene scene) throws Exception {
        Agent agent = new Agent(scene, Scene.freeAddress());
        InetSocketAddress passedOn = Scene.freeAddress();
        Target old = new Target(scene, "old", passedOn);
        old.serviceMs = 300;
        Target next = new Target(scene, "next", Scene.freeAddress());
        Target other = new Target(scene, "other", Scene.freeAddress());
        agent.change("old", old.address, "east", 1, "SERVING");
        agent.change("other", other.address, "east", 2, "SERVING");
        agent.open();
        old.open();
        next.open();
        other.open();
        Node node = new Node(scene, "n1");
        String discovery = Scene.format(agent.address);
        Settings settings = new Settings().asked().with("release-order", "token", 4, 28, 12, false);
        node.configure(discovery, agent.snapshot(), settings.json());
        node.start(discovery);
        if (!node.awaitReady()) {
            throw Scene.cannotRun("the node is not ready");
        }
        Scene.sleep(2500);
        List<String> taken = new ArrayList<>();
        try (Client client = new Client(scene, node.listen)) {
            for (int i = 0; i < MESSAGES; i++) {
                String id = String.format("order%04d", i);
                old.expect(id);
                next.expect(id);
                if (client.enqueue("0", id, "c=release-order,t=taichung-branch,d=28000,k=k-" + id + ",dest=1", "order " + id).startsWith("+")) {
                    taken.add(id);
                }
            }
        }
        if (Scene.TROUBLE) {
            node.kill();
        }
        // The replacement: the old endpoint drains and goes, a new one serves its destination, and its address passes to an endpoint of the other one.
        Scene.sleep(300);
        agent.change("next", next.address, "east", 1, "SERVING");
        agent.change("old", old.address, "east", 1, "DRAINING");
        Scene.sleep(1200);
        agent.change("old", old.address, "east", 1, "DELETED");
        old.stopListening();
        Scene.sleep(1500);
        Target successor = new Target(scene, "successor", passedOn);
        successor.open();
        agent.change("successor", passedOn, "east", 2, "SERVING");
        Scene.sleep(2000);
        if (Scene.TROUBLE) {
            // The platform starts the process again, with the list that the node last had.
            node.start(discovery);
            if (!node.awaitReady()) {
                throw Scene.cannotRun("the node is not ready again");
            }
        }
        Scene.sleep(12_000);
        for (Target.Call call : successor.foreign) {
            scene.note("foreign: %s of destination 1 came to the successor, an endpoint of destination 2, at %.1f", call.id(), call.at());
        }
        scene.say("taken on: %d; run by the old endpoint: %d; run by the new one: %d; sent to the successor, an endpoint of another destination: %d", taken.size(),
                old.runs.size(), next.runs.size(), successor.foreign.size());
        if (taken.size() < MESSAGES / 4) {
            throw Scene.cannotRun("too few messages were taken on");
        }
        return successor.foreign.isEmpty();
    }
}
