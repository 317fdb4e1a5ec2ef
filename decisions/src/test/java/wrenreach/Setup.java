package wrenreach;

import java.util.ArrayList;
import java.util.List;
import wrenreach.api.Answer;
import wrenreach.api.Listing;
import wrenreach.api.Outcome;
import wrenreach.api.Settings;
import wrenreach.api.Settings.Effect;
import wrenreach.api.Settings.RepeatGroup;
import wrenreach.state.Connect;
import wrenreach.state.Destination;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;

/** One node with one destination; times in milliseconds here, microseconds inside. */
final class Setup {
    static final long MS = 1000;

    Effect effect = Effect.TAGGED;
    RepeatGroup group = RepeatGroup.ALL;
    boolean inOrder;
    boolean apart;
    boolean copies;
    int nodes = 2;
    int me;
    int batch = 1;
    int slots = 100;
    int held = 1000;
    int tries = 6;
    double weight = 1000;
    boolean weighed = true;
    double quota;
    boolean ask;
    long now = 1_000_000 * MS;
    final Destination to = new Destination(1);
    final List<Answer> answers = new ArrayList<>();
    private long ids;
    private Choice choice;

    Choice choice() {
        if (choice == null) {
            choice = new Choice(new Settings(me, nodes, 0, 5 * MS, 7, held, slots, tries, 1, copies, true, true, 2000 * MS,
                    5000 * MS, 1000 * MS, ask, 10_000 * MS, weighed, false, 0.1, 0, 1,
                    List.of(new Settings.QueueClass(2500 * MS, 28_000 * MS, 1, 0.3, false, effect, group, 7500 * MS,
                            inOrder)),
                    List.of(new Settings.Kind(apart, batch)),
                    quota > 0 ? List.of(new Settings.Tenant(quota)) : List.of(),
                    new Settings.Rules(20 * MS, 500 * MS, 0.25, 10_000 * MS, 1.5, 3000 * MS, 300 * MS)));
        }
        return choice;
    }

    Endpoint endpoint(int address, int zone) {
        Endpoint e = new Endpoint(address, to, 0, zone);
        list(e, Listing.State.READY);
        return e;
    }

    void list(Endpoint e, Listing.State state) {
        answers.addAll(choice().listed(new Listing(Listing.Scope.CHANGES,
                List.of(new Listing.Entry(e, state, weight))), now));
    }

    Mail mail(OrderKey key) {
        return mail(to, key);
    }

    Mail mail(Destination d, OrderKey key) {
        Mail m = new Mail(ids++, d, key, 0, 0, now, now + 28_000 * MS);
        answers.addAll(choice().admit(m, now));
        return m;
    }

    /** Ends the turn after this long; the connects that it sends. */
    List<Connect> turn(long after) {
        now += after * MS;
        answers.addAll(choice().next(now));
        List<Connect> sent = new ArrayList<>();
        for (Answer answer : take()) {
            if (answer instanceof Answer.Send send) {
                sent.add(send.connect());
            }
        }
        return sent;
    }

    /** Hands in a mail and sends it. */
    Connect send() {
        mail(null);
        return turn(500).get(0);
    }

    void end(Connect c, Outcome outcome) {
        answers.addAll(choice().ended(c, outcome, new double[0], outcome instanceof Outcome.Delivered, now));
    }

    /** Hands in and fails so many mails, one a turn, while any is sent. */
    int fail(int times, Outcome outcome) {
        int failed = 0;
        for (int i = 0; i < times; i++) {
            mail(null);
            for (Connect c : turn(1000)) {
                end(c, outcome);
                failed++;
            }
        }
        return failed;
    }

    <A extends Answer> List<A> all(Class<A> kind) {
        return answers.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    private List<Answer> take() {
        List<Answer> last = List.copyOf(answers);
        kept.addAll(last);
        answers.clear();
        return last;
    }

    final List<Answer> kept = new ArrayList<>();

    /** Everything answered so far. */
    <A extends Answer> List<A> ever(Class<A> kind) {
        take();
        return kept.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
