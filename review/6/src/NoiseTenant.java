package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A bad client sends one command with noise where the tenant's name stands, at a site that has no tenants; later the node is killed and started again. */
final class NoiseTenant {
    private static final int NOISE_BYTES = 40_000;

    private NoiseTenant() { }

    public static void main(String[] args) {
        Scene.play(NoiseTenant::play);
    }

    private static boolean play(Scene scene) throws Exception {
        Agent agent = new Agent(scene, Scene.freeAddress());
        Target fast = new Target(scene, "fast", Scene.freeAddress());
        // A slow receiver, so that messages wait for it at any time.
        Target slow = new Target(scene, "slow", Scene.freeAddress());
        slow.serviceMs = 3000;
        agent.change("fast", fast.address, "east", 1, "SERVING");
        agent.change("slow", slow.address, "east", 2, "SERVING");
        agent.open();
        fast.open();
        slow.open();
        Node node = new Node(scene, "n1");
        String discovery = Scene.format(agent.address);
        node.configure(discovery, agent.snapshot(), new Settings().with("order-update", "token", 2.5, 12, 8, false).withoutTenants().json());
        node.start(discovery);
        if (!node.awaitReady()) {
            throw Scene.cannotRun("the node is not ready");
        }
        Set<String> taken = ConcurrentHashMap.newKeySet();
        AtomicBoolean ended = new AtomicBoolean();
        Thread usual = new Thread(() -> handIn(scene, node, fast, slow, taken, ended));
        usual.start();
        Scene.sleep(2000);
        if (Scene.TROUBLE) {
            sendNoise(scene, node, fast);
        }
        Scene.sleep(3000);
        node.kill();
        ended.set(true);
        usual.join();
        Scene.sleep(600);
        node.start(discovery);
        boolean ready = node.awaitReady();
        Scene.sleep(ready ? 14_000 : 3000);
        Set<String> lost = new TreeSet<>(taken);
        fast.runs.forEach(call -> lost.remove(call.id()));
        slow.runs.forEach(call -> lost.remove(call.id()));
        lost.removeAll(agent.notices().keySet());
        lost.forEach(id -> scene.note("without an end: %s was taken on, and neither run nor ended by a notice", id));
        scene.say("messages of usual clients taken on: %d; neither run nor ended by a notice: %d; ready after the restart: %s%s", taken.size(), lost.size(), ready,
                ready ? "" : ", the process ended with " + node.exitCode());
        return ready && lost.isEmpty();
    }

    /** The bad client: it sends at full speed and reads what it is sent. */
    private static void sendNoise(Scene scene, Node node, Target target) throws IOException {
        target.expect("noise1");
        byte[] noise = new byte[NOISE_BYTES];
        Arrays.fill(noise, (byte) 0xe9);
        ByteArrayOutputStream fields = new ByteArrayOutputStream();
        fields.writeBytes(Http.bytes("c=order-update,t="));
        fields.writeBytes(noise);
        fields.writeBytes(Http.bytes(",d=12000,k=noise,dest=1"));
        ByteArrayOutputStream command = new ByteArrayOutputStream();
        command.writeBytes(Http.bytes("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$6\r\nnoise1\r\n$" + fields.size() + "\r\n"));
        command.writeBytes(fields.toByteArray());
        command.writeBytes(Http.bytes("\r\n$1\r\nx\r\n"));
        try (Socket socket = new Socket()) {
            socket.connect(node.listen, 1000);
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(command.toByteArray());
            scene.say("the bad client's answer: %s", Http.readLine(new BufferedInputStream(socket.getInputStream())));
        }
    }

    private static void handIn(Scene scene, Node node, Target fast, Target slow, Set<String> taken, AtomicBoolean ended) {
        try (Client client = new Client(scene, node.listen)) {
            for (int i = 0; !ended.get(); i++) {
                String id = String.format("update%05d", i);
                Target target = i % 2 == 0 ? fast : slow;
                target.expect(id);
                if (client.enqueue("0", id, "c=order-update,d=12000,k=k-" + id + ",dest=" + (i % 2 == 0 ? 1 : 2), "update " + id).startsWith("+")) {
                    taken.add(id);
                }
                Scene.sleep(50);
            }
        }
    }
}
