package wrenreach.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import wrenreach.api.Dispatcher;
import wrenreach.api.Settings;

/** Checks scenarios for rule violations, and shrinks one to a smaller scenario that still violates the same rule. */
final class ScenarioShrinker {
    /** A shrinking looks for no smaller scenario after so many plays. */
    private static final int MAX_PLAYS = 200;

    private final Function<Settings, Dispatcher> dispatcherFactory;
    private int playCount;

    ScenarioShrinker(Function<Settings, Dispatcher> module) {
        this.dispatcherFactory = module;
    }

    /** Plays the scenario in virtual time; its violations. */
    List<Rules.Violation> violations(Scenario scenario) {
        ScenarioRun play = ScenarioRun.of(scenario, dispatcherFactory);
        return Rules.judge(scenario, play.world.facts, play.settings, play.world.now());
    }

    /** The smallest scenario found that still violates the rule: fewest faults, classes, nodes, receivers, mails, time. */
    Scenario shrink(Scenario scenario, Rules.Rule rule) {
        playCount = 0;
        Scenario smallest = scenario;
        for (boolean smaller = true; smaller && playCount < MAX_PLAYS;) {
            smaller = false;
            for (Scenario next : smallerVariants(smallest)) {
                playCount++;
                if (violations(next).stream().anyMatch(one -> one.rule() == rule)) {
                    smallest = next;
                    smaller = true;
                    break;
                }
            }
        }
        return smallest;
    }

    /** The scenarios that are one step smaller, in the order in which they are tried. */
    private static List<Scenario> smallerVariants(Scenario scenario) {
        List<Scenario> all = new ArrayList<>();
        for (int i = 0; i < scenario.faults().size(); i++) {
            List<Scenario.Fault> fewer = new ArrayList<>(scenario.faults());
            fewer.remove(i);
            all.add(scenario.with(fewer));
        }
        for (int i = 0; scenario.classes().size() > 1 && i < scenario.classes().size(); i++) {
            List<Scenario.QueueClass> fewer = new ArrayList<>(scenario.classes());
            fewer.remove(i);
            all.add(new Scenario(scenario.seed(), scenario.figures(), fewer, scenario.faults()));
        }
        if (scenario.nodes() > 1) {
            all.add(scenario.with(Scenario.Figure.NODES, scenario.nodes() - 1));
        }
        for (Scenario.Figure figure : List.of(Scenario.Figure.DESTINATIONS, Scenario.Figure.ENDPOINTS, Scenario.Figure.ZONES,
                Scenario.Figure.LEDGER)) {
            if (scenario.figures().get(figure) > 1) {
                all.add(scenario.with(figure, 1));
            }
        }
        if (scenario.rate() > 4) {
            all.add(scenario.with(Scenario.Figure.RATE, scenario.rate() / 2));
        }
        if (scenario.lengthMs() > 2000) {
            all.add(scenario.with(Scenario.Figure.LENGTH, scenario.lengthMs() * 3 / 4));
        }
        return all;
    }
}
