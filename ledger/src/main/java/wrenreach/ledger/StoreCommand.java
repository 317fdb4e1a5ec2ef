package wrenreach.ledger;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wrenreach.frame.Command;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.store.Batch;
import wrenreach.store.FolderDisk;
import wrenreach.store.Store;

/** The command {@code wrenreach store}: inspects, repairs and benchmarks a store. */
final class StoreCommand implements Command {
    /** Exit code: the store is sound, or the command has succeeded. */
    private static final int EXIT_SOUND = 0;
    /** Exit code: the store is damaged, or reading or writing failed. */
    private static final int EXIT_DAMAGED = 1;
    /** Exit code: there is no usable store, or the command line is wrong. */
    private static final int EXIT_NO_STORE = 2;
    /** Size of each value that the benchmark writes. */
    private static final int BENCH_VALUE_BYTES = 200;
    /** Records in each batch of the benchmark. */
    private static final int BENCH_BATCH_RECORDS = 10;
    /** Size limit of the stores that repair and the benchmark write: 1 TiB, more than either needs. */
    private static final long MAX_STORE_BYTES = 1L << 40;

    @Override public String name() {
        return "store";
    }

    @Override public List<String> usage() {
        return List.of("store check FOLDER   whether a store is sound (0), damaged (1) or none (2); nothing is changed",
                "store stats FOLDER   how many keys and bytes it holds",
                "store held FOLDER    the mails that it owes",
                "store dump FOLDER    each key and value, in the order of the keys",
                "store repair FOLDER --copy DIR   keeps what can't be read in DIR and leaves a sound store",
                "store bench FOLDER --records N   fills a new store and opens it again; it stays in the folder");
    }

    @Override public int run(List<String> words, PrintStream out, PrintStream err) {
        Options known = new Options();
        known.addOption(Option.builder().longOpt("records").hasArg().get());
        known.addOption(Option.builder().longOpt("copy").hasArg().get());
        try {
            CommandLine line = new DefaultParser().parse(known, words.toArray(String[]::new));
            List<String> args = line.getArgList();
            if (args.size() != 2) {
                throw new ParseException("store: what is to be done with which folder?");
            }
            Path folder = Path.of(args.get(1));
            switch (args.get(0)) {
                case "bench":
                    return bench(folder, records(line.getOptionValue("records", "")), out);
                case "check":
                case "stats":
                case "dump":
                    return inspect(args.get(0), storeFolder(folder), out);
                case "held":
                    return held(storeFolder(folder), out);
                case "repair":
                    if (!line.hasOption("copy")) {
                        throw new ParseException("store repair: --copy DIR is needed, for what can't be read");
                    }
                    return repair(storeFolder(folder), Path.of(line.getOptionValue("copy")), out);
                default:
                    throw new ParseException("store " + args.get(0) + ": not known");
            }
        } catch (ParseException e) {
            err.println("wrenreach: " + e.getMessage());
            usage().forEach(use -> err.println("usage: wrenreach " + use));
            return EXIT_NO_STORE;
        } catch (NoStore | java.nio.file.NoSuchFileException | java.nio.file.NotDirectoryException e) {
            err.println("wrenreach: " + e.getMessage() + " is no store");
            return EXIT_NO_STORE;
        } catch (Store.Unusable e) {
            err.println("wrenreach: " + e.getMessage());
            return EXIT_NO_STORE;
        } catch (IOException e) {
            err.println("wrenreach: " + e.getMessage());
            return EXIT_DAMAGED;
        }
    }

    /** The folder holds no store. */
    private static final class NoStore extends IOException {
        private static final long serialVersionUID = 1;

        NoStore(Path folder) {
            super(folder.toString());
        }
    }

    private static int records(String text) throws ParseException {
        if (!text.matches("[1-9]\\d{0,7}")) {
            throw new ParseException("store bench: --records is a number from 1 to 99999999, not \"" + text + "\"");
        }
        return Integer.parseInt(text);
    }

    /** The folder of the store itself: the argument may also be the state folder that contains it. */
    private static Path storeFolder(Path folder) throws IOException {
        Path under = folder.resolve(Journal.STORE);
        Path found = Files.isDirectory(under) ? under : folder;
        if (!Store.isStore(new FolderDisk(found))) {
            throw new NoStore(folder);
        }
        return found;
    }

    private static int inspect(String what, Path folder, PrintStream out) throws IOException {
        try (Store store = Store.openReadOnly(new FolderDisk(folder))) {
            Store.Stats stats = store.stats();
            if (what.equals("dump")) {
                store.forEach((key, value) -> out.println(printable(key) + " " + HexFormat.of().formatHex(value)));
            } else {
                out.printf(Locale.ROOT, "%d keys, %d bytes live, %d bytes in %d files, %d batches, the last is number %d%n", stats.keys(),
                        stats.liveBytes(), stats.usedBytes(), stats.segments(), store.recovered().batches(), stats.sequence());
            }
            if (what.equals("check")) {
                // Reads each value, to check the checksums of the records too.
                store.forEach((key, value) -> { });
            }
            if (store.recovered().truncatedBytes() > 0) {
                out.println("a last write of " + store.recovered().truncatedBytes() + " bytes was never finished; the next start cuts it off");
            }
            store.recovered().damagedRanges().forEach(range -> out.println("damaged: " + range.describe()));
            return store.recovered().damagedRanges().isEmpty() ? EXIT_SOUND : EXIT_DAMAGED;
        }
    }

    private static int held(Path folder, PrintStream out) throws IOException {
        List<HeldMail> mails = StoreLedger.read(folder);
        mails.forEach(mail -> out.println(mail.describe()));
        out.println(mails.size() + " mails owed");
        return EXIT_SOUND;
    }

    private static String printable(String key) {
        return key.replace("\\", "\\\\").replace("\0", "\\0").replace("\n", "\\n").replace(" ", "\\s");
    }

    /** Copies the files unchanged, writes what can be read into a new store, and replaces the old store by that. */
    private static int repair(Path folder, Path copy, PrintStream out) throws IOException {
        Files.createDirectories(copy);
        try (Stream<Path> there = Files.list(copy)) {
            if (there.findAny().isPresent()) {
                throw new IOException(copy + " is not empty");
            }
        }
        Path fresh = folder.resolveSibling(folder.getFileName() + ".repaired");
        Path old = folder.resolveSibling(folder.getFileName() + ".damaged");
        if (Files.exists(fresh) || Files.exists(old)) {
            throw new IOException(fresh + " or " + old + " is left from an earlier repair");
        }
        // The lock is taken first, so that a store that a running node has open is left alone.
        try (FolderDisk held = new FolderDisk(folder)) {
            held.lock();
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.copy(file, copy.resolve(file.getFileName().toString()));
                }
            }
            Files.createDirectories(fresh);
            int kept = 0;
            int damagedRanges;
            try (Store from = Store.openReadOnly(new FolderDisk(folder));
                    Store to = Store.open(new FolderDisk(fresh), MAX_STORE_BYTES, true, new java.security.SecureRandom().nextInt())) {
                int[] count = {0};
                from.forEach((key, value) -> {
                    try {
                        to.write(new Batch().put(key, value));
                        count[0]++;
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
                to.sync().force();
                kept = count[0];
                damagedRanges = from.recovered().damagedRanges().size();
            }
            Files.move(folder, old);
            Files.move(fresh, folder);
            out.println(kept + " keys kept, " + damagedRanges + " holes; the files as they were are in " + copy);
        }
        try (Stream<Path> files = Files.list(old)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(old);
        return EXIT_SOUND;
    }

    private static int bench(Path folder, int records, PrintStream out) throws IOException {
        Files.createDirectories(folder);
        try (Stream<Path> there = Files.list(folder)) {
            if (there.findAny().isPresent()) {
                throw new IOException(folder + " is not empty");
            }
        }
        long begin = System.nanoTime();
        try (Store store = Store.open(new FolderDisk(folder), MAX_STORE_BYTES, false, new java.security.SecureRandom().nextInt())) {
            byte[] body = new byte[BENCH_VALUE_BYTES];
            for (int i = 0; i < records;) {
                Batch batch = new Batch();
                for (int j = 0; j < BENCH_BATCH_RECORDS && i < records; j++, i++) {
                    batch.put("t" + i, body);
                }
                store.write(batch);
            }
        }
        long filled = System.nanoTime();
        try (Store store = Store.open(new FolderDisk(folder), MAX_STORE_BYTES, false, 0)) {
            long opened = System.nanoTime();
            Runtime java = Runtime.getRuntime();
            System.gc();
            out.printf(Locale.ROOT, "%d records of %d bytes in batches of %d: %.0f a second; opened again in %.0f ms; %.1f MB of heap%n",
                    records, BENCH_VALUE_BYTES, BENCH_BATCH_RECORDS, records / ((filled - begin) / 1e9), (opened - filled) / 1e6,
                    (java.totalMemory() - java.freeMemory()) / 1e6);
            return store.stats().keys() == records ? EXIT_SOUND : EXIT_DAMAGED;
        }
    }
}
