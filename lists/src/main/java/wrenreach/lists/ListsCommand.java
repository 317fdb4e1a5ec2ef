package wrenreach.lists;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wrenreach.endpoints.ListUpdate;
import wrenreach.frame.Command;

/** The command "wrenreach lists check|make|status". Exit code 0: fine; 1: status shows a held-back list or a fault; 2: an error. */
final class ListsCommand implements Command {
    /** The largest values that the operator's file allows: the command doesn't know those of a node. */
    private static final ListFiles.Bounds LIMITS = new ListFiles.Bounds(1L << 30, 1_000_000, 65_536);
    private static final String LABEL_OPTION = "--label=";
    private static final String CONFIRM_OPTION = "--confirm";

    @Override public String name() {
        return "lists";
    }

    @Override public List<String> usage() {
        return List.of("lists check MANIFEST   reads a list as a node would, and says what it holds or what is wrong",
                "lists make MANIFEST PART... [--label=TEXT] [--confirm]   writes the manifest of parts that lie beside it",
                "lists status FOLDER    what the node that keeps its lists there says: in force, held back, faulty");
    }

    @Override public int run(List<String> words, PrintStream out, PrintStream err) {
        try {
            if (words.size() == 2 && words.get(0).equals("check")) {
                check(Path.of(words.get(1)), out);
                return 0;
            } else if (words.size() >= 3 && words.get(0).equals("make")) {
                make(Path.of(words.get(1)), words.subList(2, words.size()), out);
                return 0;
            } else if (words.size() == 2 && words.get(0).equals("status")) {
                return status(Path.of(words.get(1)), out);
            }
            usage().forEach(line -> err.println("usage: wrenreach " + line));
        } catch (InvalidListException e) {
            err.println(e.getMessage());
        } catch (IOException e) {
            err.println("wrenreach: " + e);
        }
        return 2;
    }

    private static void check(Path file, PrintStream out) throws InvalidListException {
        ListFiles.ManifestFile manifestFile = ListFiles.loadManifest(file);
        ListFiles.Manifest manifest = ListFiles.parseManifest(manifestFile.realPath(), manifestFile.bytes());
        Generation list = ListFiles.readList(manifestFile, manifest, LIMITS, null);
        Map<String, Integer> zones = new TreeMap<>();
        Map<String, Integer> serving = new TreeMap<>();
        for (ListUpdate.Entry entry : list.endpoints().values()) {
            zones.merge(entry.zone(), 1, Integer::sum);
            serving.merge(entry.zone(), Generation.isServing(entry) ? 1 : 0, Integer::sum);
        }
        out.printf("%s \"%s\": %d endpoints of %d destinations in %d parts%s%n", list.fingerprint(), list.label(),
                list.endpoints().size(), list.servingCounts().size(), manifest.parts().size(),
                manifest.confirm().isEmpty() ? "" : manifest.confirm().equals(list.fingerprint()) ? ", confirmed"
                        : ", confirms another list: " + manifest.confirm());
        zones.forEach((zone, count) -> out.printf("  zone %-12s %d endpoints, %d of them serving%n",
                zone.isEmpty() ? "\"\"" : zone, count, serving.get(zone)));
    }

    private static void make(Path file, List<String> words, PrintStream out) throws IOException, InvalidListException {
        String label = Instant.now().toString();
        boolean confirm = false;
        List<ListFiles.Part> parts = new ArrayList<>();
        for (String word : words) {
            if (word.startsWith(LABEL_OPTION)) {
                label = word.substring(LABEL_OPTION.length());
            } else if (word.equals(CONFIRM_OPTION)) {
                confirm = true;
            } else {
                parts.add(new ListFiles.Part(word, ListFiles.sha256Hex(Files.readAllBytes(file.resolveSibling(word)))));
            }
        }
        ListFiles.Manifest manifest = new ListFiles.Manifest(label, "", parts);
        manifest = new ListFiles.Manifest(label, confirm ? manifest.fingerprint() : "", parts);
        byte[] bytes = ListFiles.write(manifest);
        // The list is read back first, so that no manifest is published that a node would refuse.
        Generation list = ListFiles.readList(new ListFiles.ManifestFile(file.toAbsolutePath(), bytes),
                ListFiles.parseManifest(file, bytes), LIMITS, null);
        ListFiles.replaceAtomically(file, bytes);
        out.printf("%s: %s \"%s\", %d endpoints%n", file, list.fingerprint(), list.label(), list.endpoints().size());
    }

    private static int status(Path folder, PrintStream out) throws IOException {
        Status status = Status.read(folder);
        if (status.fingerprint().isEmpty()) {
            out.println("in force: no list yet");
        } else {
            out.printf("in force: %s \"%s\", %d endpoints, since %s%n", status.fingerprint(), status.label(), status.endpointCount(),
                    Instant.ofEpochMilli(status.inForceSince()));
        }
        if (!status.heldFingerprint().isEmpty()) {
            out.printf("held back: %s \"%s\" since %s, until the manifest says \"confirm\": \"%s\"%n", status.heldFingerprint(),
                    status.heldLabel(), Instant.ofEpochMilli(status.heldSince()), status.heldFingerprint());
            status.heldReasons().forEach(reason -> out.println("  " + reason));
        }
        if (!status.fault().isEmpty()) {
            out.printf("can't be read since %s: %s%n", Instant.ofEpochMilli(status.faultSince()), status.fault());
        }
        return status.isHealthy() ? 0 : 1;
    }
}
