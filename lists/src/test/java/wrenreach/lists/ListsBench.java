package wrenreach.lists;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import wrenreach.endpoints.ListUpdate;

/**
 * Benchmark of watched lists on loopback, run by bench/lists.sh and not in CI. Arguments: rounds of the first measurement,
 * endpoints and destinations of the second.
 */
final class ListsBench {
    private ListsBench() { }

    public static void main(String[] args) throws Exception {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Path folder = Files.createTempDirectory("lists");
        renameToFirstMail(folder.resolve("small"), Integer.parseInt(args[0]));
        largeLists(folder.resolve("large"), Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        System.exit(0);
    }

    /** Measures, under load, the time from the rename of the manifest to the first mail that goes to an endpoint that only the new list holds. */
    private static void renameToFirstMail(Path folder, int rounds) throws Exception {
        Files.createDirectories(folder);
        long[] micros = new long[rounds];
        try (Loopback setup = new Loopback(folder, 2, 0, Loopback.section(folder, 1, 10_000))) {
            int mail = 0;
            for (int i = 0; i < rounds; i++) {
                int newReceiver = (i + 1) % 2;
                long renamedAt = setup.publish("list " + i, List.of(newReceiver));
                long firstAt = Long.MAX_VALUE;
                while (firstAt == Long.MAX_VALUE) {
                    setup.submit("m" + mail++);
                    for (Loopback.ReceivedCall call = setup.calls.poll(); call != null; call = setup.calls.poll()) {
                        firstAt = call.receiver() == newReceiver && call.receivedAt() > renamedAt ? Math.min(firstAt, call.receivedAt()) : firstAt;
                    }
                }
                micros[i] = (firstAt - renamedAt) / 1000;
                if (i % 50 == 49) {
                    System.err.println("round " + (i + 1) + " of " + rounds);
                }
                TimeUnit.MILLISECONDS.sleep(40);
            }
        }
        Arrays.sort(micros);
        System.out.printf("rename to first mail by the new list, us, %d rounds: median %d, 99th percentile %d, most %d%n",
                rounds, micros[rounds / 2], micros[(int) (rounds * 0.99)], micros[rounds - 1]);
    }

    private static byte[] part(int endpoints, int destinations, int omitted) throws IOException {
        Map<String, ListUpdate.Entry> entries = new LinkedHashMap<>();
        for (int i = omitted; i < endpoints; i++) {
            int destination = 1 + i % destinations;
            String id = Generation.idOf(destination, "server-" + i);
            entries.put(id, new ListUpdate.Entry(id, "127.1." + i / 250 % 250 + "." + (1 + i % 250) + ":8080", "zone-" + i % 7,
                    "small", destination, Generation.SERVING, 10));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ListFiles.write(out, new Generation("", "", entries));
        return out.toByteArray();
    }

    private static long usedHeapKb() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            System.gc();
            TimeUnit.MILLISECONDS.sleep(50);
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 10;
    }

    /** Measures, for large lists, the time until a new one is stored, the longest gap of the event loop, and the memory. */
    private static void largeLists(Path folder, int endpoints, int destinations) throws Exception {
        Files.createDirectories(folder);
        try (Loopback setup = new Loopback(folder, 1, 0, Loopback.section(folder, 1, 10_000))) {
            AtomicLong longestGap = new AtomicLong();
            AtomicLong lastRun = new AtomicLong(System.nanoTime());
            setup.node.loop().scheduleAtFixedRate(() -> {
                long now = System.nanoTime();
                longestGap.accumulateAndGet(now - lastRun.getAndSet(now), Math::max);
            }, 1, 1, TimeUnit.MILLISECONDS);
            long heapBefore = usedHeapKb();
            String[] steps = {"all new", "1 of 100 left out", "all but 1 of 100 back", "the same again"};
            for (int step = 0; step < steps.length; step++) {
                byte[] part = part(endpoints, destinations, step % 2 == 1 && step < 3 ? endpoints / 100 : 0);
                ListFiles.replaceAtomically(folder.resolve("part"), part);
                byte[] manifest = ListFiles.write(new ListFiles.Manifest("large " + step, "",
                        List.of(new ListFiles.Part("part", ListFiles.sha256Hex(part)))));
                longestGap.set(0);
                long acceptedBefore = setup.status().acceptedCount();
                long replacedAt = System.nanoTime();
                ListFiles.replaceAtomically(folder.resolve("manifest.json"), manifest);
                boolean unchanged = step == steps.length - 1;
                while (!unchanged && setup.status().acceptedCount() == acceptedBefore) {
                    TimeUnit.MILLISECONDS.sleep(1);
                }
                setup.node.loop().submit(() -> { }).sync();
                long tookMs = (System.nanoTime() - replacedAt) / 1_000_000;
                TimeUnit.MILLISECONDS.sleep(unchanged ? 500 : 200);
                System.out.printf("%d endpoints of %d destinations, %.1f MB, %s: read, judged, told and kept in %d ms; "
                        + "longest gap of the loop %d ms%n", endpoints, destinations, part.length / 1e6, steps[step], tookMs,
                        longestGap.get() / 1_000_000);
            }
            System.out.printf("heap: %d KB more than with one endpoint%n", usedHeapKb() - heapBefore);
        }
    }
}
