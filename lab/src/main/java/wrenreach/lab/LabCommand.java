package wrenreach.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import wrenreach.Choice;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;
import wrenreach.frame.Command;

/** wrenreach lab explore|replay: whole nodes in virtual time, judged by the rules. */
public final class LabCommand implements Command {
    @Override public String name() {
        return "lab";
    }

    @Override public List<String> usage() {
        return List.of("lab explore A..B [SECONDS] [FOLDER]   plays the days drawn from these seeds, for so long at most (60); what "
                + "breaks a rule is cut down and kept in the folder (found)",
                "lab replay FILE      plays a kept day again and prints its timeline",
                "lab compare FILE [SEEDS]   plays a day with so many seeds (9) by the module and by plain dispatchers");
    }

    @Override public int run(List<String> words, PrintStream out, PrintStream err) {
        try {
            // Thousands of nodes start and stop here: what each says for staff is no news.
            Logger.getLogger("").setLevel(Level.OFF);
            if (words.size() >= 2 && words.size() <= 4 && words.get(0).equals("explore")
                    && words.get(1).matches("\\d{1,9}\\.\\.\\d{1,9}") && (words.size() < 3 || words.get(2).matches("\\d{1,6}"))) {
                String[] seeds = words.get(1).split("\\.\\.");
                return explore(Long.parseLong(seeds[0]), Long.parseLong(seeds[1]),
                        words.size() > 2 ? Integer.parseInt(words.get(2)) : 60, Path.of(words.size() > 3 ? words.get(3) : "found"), out);
            } else if (words.size() == 2 && words.get(0).equals("replay")) {
                return replay(Path.of(words.get(1)), out);
            }
            if ((words.size() == 2 || words.size() == 3 && words.get(2).matches("[1-9]\\d{0,3}")) && words.get(0).equals("compare")) {
                return compare(Path.of(words.get(1)), words.size() == 3 ? Integer.parseInt(words.get(2)) : 9, out);
            }
            usage().forEach(line -> err.println("usage: wrenreach " + line));
            return 2;
        } catch (Scenario.Unreadable e) {
            err.println(words.get(1) + ": " + e.getMessage());
            return 2;
        } catch (IOException e) {
            err.println("wrenreach: " + e);
            return 1;
        }
    }

    private static int explore(long from, long to, int seconds, Path folder, PrintStream out) throws IOException {
        Explore explore = new Explore(Choice::new);
        long begin = System.nanoTime();
        long emulated = 0;
        int played = 0;
        int broken = 0;
        for (long seed = from; seed <= to && System.nanoTime() - begin < seconds * 1_000_000_000L; seed++) {
            Scenario scenario = Scenario.drawn(seed);
            Play play = Play.of(scenario, Choice::new);
            played++;
            emulated += play.world.now();
            List<Rules.Break> breaks = Rules.judge(scenario, play.world.facts, play.settings, play.world.now());
            if (!breaks.isEmpty()) {
                broken++;
                Rules.Rule rule = breaks.get(0).rule();
                Scenario least = explore.shrink(scenario, rule);
                Files.createDirectories(folder);
                Path file = folder.resolve(rule.name().toLowerCase(Locale.ROOT) + "-" + seed + ".day");
                Files.writeString(file, "# " + breaks.get(0).what() + System.lineSeparator() + least.text());
                out.printf("seed %d breaks %s: %s; kept as %s with %d faults%n", seed, rule, breaks.get(0).what(), file,
                        least.faults().size());
            }
        }
        double took = (System.nanoTime() - begin) / 1e9;
        out.printf(Locale.ROOT, "%d days played, %d broke a rule; %.0f emulated seconds in %.1f s, %.0f days an hour%n", played,
                broken, emulated / 1e9, took, played / took * 3600);
        return broken == 0 ? 0 : 1;
    }

    private static int compare(Path file, int seeds, PrintStream out) throws IOException, Scenario.Unreadable {
        Scenario scenario = Scenario.parse(Files.readAllLines(file));
        Map<String, Function<Settings, Dispatcher>> all = new LinkedHashMap<>();
        all.put("wrenreach", Choice::new);
        all.put("one try", Baseline::oneTry);
        all.put("fixed rests", Baseline::fixedRests);
        out.println(Figures.head());
        int ownBreaks = 0;
        for (Map.Entry<String, Function<Settings, Dispatcher>> one : all.entrySet()) {
            List<Figures> days = new ArrayList<>();
            int broken = 0;
            for (int i = 0; i < seeds; i++) {
                Scenario day = new Scenario(scenario.seed() + i, scenario.nodes(), scenario.destinations(), scenario.endpoints(),
                        scenario.rate(), scenario.lengthMs(), scenario.faults());
                Play play = Play.of(day, one.getValue());
                days.add(Figures.of(play.world.facts, play.settings.classes().get(0).targetDelay()));
                broken += Rules.judge(day, play.world.facts, play.settings, play.world.now()).size();
            }
            out.println(Figures.together(days).line(one.getKey(), broken));
            ownBreaks += one.getKey().equals("wrenreach") ? broken : 0;
        }
        return ownBreaks == 0 ? 0 : 1;
    }

    private static int replay(Path file, PrintStream out) throws IOException, Scenario.Unreadable {
        Scenario scenario = Scenario.parse(Files.readAllLines(file));
        Play play = Play.of(scenario, Choice::new);
        play.timeline().forEach(out::println);
        List<Rules.Break> breaks = Rules.judge(scenario, play.world.facts, play.settings, play.world.now());
        breaks.forEach(one -> out.printf(Locale.ROOT, "%10.4f s  BROKEN %s: %s%n", (one.at() - 1_000_000_000L) / 1e9, one.rule(),
                one.what()));
        out.println(play.world.print());
        return breaks.isEmpty() ? 0 : 1;
    }
}
