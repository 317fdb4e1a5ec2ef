package review2;

import java.util.ArrayList;
import java.util.List;

/** The settings of a small deployment, as JSON. */
final class Settings {
    private final List<String> classes = new ArrayList<>();
    private String discovery = "push";
    private String tenants = "\"Tenants\":[{\"Name\":\"taichung-branch\",\"QuotaPerS\":60,\"Share\":1.0}],";

    /** Adds a queue class. effect: pure, token or side_effect; times in seconds; ordered: whether messages of a key go one by one. */
    Settings with(String name, String effect, double promise, double deadline, double window, boolean ordered) {
        classes.add("{\"Name\":\"" + name + "\",\"Promise\":" + promise + ",\"Deadline\":" + deadline + ",\"Value\":1.0,\"LateShare\":0.3,\"Effect\":\"" + effect
                + "\",\"KeyScope\":\"all\",\"Window\":" + window + ",\"InTurn\":" + ordered + ",\"Stream\":false}");
        return this;
    }

    /** Lists of endpoints come only when asked for. */
    Settings asked() {
        discovery = "ask";
        return this;
    }

    /** The site has no tenants. */
    Settings withoutTenants() {
        tenants = "";
        return this;
    }

    String json() {
        return "{\"Me\":0,\"GroupSize\":2,\"Zone\":0,\"Areas\":[\"east\",\"west\"],\"Kinds\":[\"chain-supplier\",\"local-yard\"],\"Tick\":0.005,"
                + "\"Discovery\":\"" + discovery + "\",\"Weights\":\"rough\",\"OverShareWorth\":0.1,\"Classes\":[" + String.join(",", classes) + "],"
                + tenants + "\"FamilyInfo\":{\"MaxCalls\":16,\"KindApart\":[false,false],\"BatchByKind\":[1,1],\"Decay\":\"even\"},"
                + "\"Feedback\":{\"How\":\"piggyback\",\"Names\":[\"x0\",\"x1\"]},"
                + "\"Limits\":{\"MaxOpen\":300,\"TryLimit\":6,\"MaxStreams\":1,\"ParallelTries\":false,\"Cancelling\":true,\"RetryAfter\":false,"
                + "\"MaxRetryAfter\":2,\"ConnIdle\":5,\"ConnectTimeout\":1},"
                + "\"Rules\":{\"AnswerSlack\":0.02,\"DrainGrace\":0.5,\"MustAskIn\":10,\"ColdFrom\":0.27,\"Cold\":11,\"OverloadFactor\":1.5,\"TipAfter\":3,"
                + "\"OrderSettle\":0.3}}";
    }
}
