package wrenreach.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;

/** Looks for scenarios that break a rule, and cuts one down to what still breaks the same rule. */
final class ScenarioShrinker {
    /** Plays that a shrinking may take. */
    private static final int MAX_PLAYS = 200;

    private final Function<Settings, Dispatcher> dispatcherFactory;
    private int playCount;

    ScenarioShrinker(Function<Settings, Dispatcher> module) {
        this.dispatcherFactory = module;
    }

    /** What a scenario breaks. */
    List<Rules.Violation> violations(Scenario scenario) {
        ScenarioRun play = ScenarioRun.of(scenario, dispatcherFactory);
        return Rules.judge(scenario, play.world.facts, play.settings, play.world.now());
    }

    /** The smallest scenario found that still breaks the rule: fewest faults, nodes, receivers, mails, time. */
    Scenario shrink(Scenario broken, Rules.Rule rule) {
        playCount = 0;
        Scenario least = broken;
        for (boolean smaller = true; smaller && playCount < MAX_PLAYS;) {
            smaller = false;
            for (Scenario next : smallerVariants(least)) {
                playCount++;
                if (violations(next).stream().anyMatch(one -> one.rule() == rule)) {
                    least = next;
                    smaller = true;
                    break;
                }
            }
        }
        return least;
    }

    private static List<Scenario> smallerVariants(Scenario s) {
        List<Scenario> all = new ArrayList<>();
        for (int i = 0; i < s.faults().size(); i++) {
            List<Scenario.Fault> fewer = new ArrayList<>(s.faults());
            fewer.remove(i);
            all.add(s.with(fewer));
        }
        for (int i = 0; s.classes().size() > 1 && i < s.classes().size(); i++) {
            List<Scenario.QueueClass> fewer = new ArrayList<>(s.classes());
            fewer.remove(i);
            all.add(new Scenario(s.seed(), s.figures(), fewer, s.faults()));
        }
        if (s.nodes() > 1) {
            all.add(s.with(Scenario.Figure.NODES, s.nodes() - 1));
        }
        for (Scenario.Figure figure : List.of(Scenario.Figure.DESTINATIONS, Scenario.Figure.ENDPOINTS, Scenario.Figure.ZONES,
                Scenario.Figure.LEDGER)) {
            if (s.figures().get(figure) > 1) {
                all.add(s.with(figure, 1));
            }
        }
        if (s.rate() > 4) {
            all.add(s.with(Scenario.Figure.RATE, s.rate() / 2));
        }
        if (s.lengthMs() > 2000) {
            all.add(s.with(Scenario.Figure.LENGTH, s.lengthMs() * 3 / 4));
        }
        return all;
    }
}
