package wrenreach.lists;

import static org.assertj.core.api.Assertions.assertThat;
import static wrenreach.lists.Lists.list;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ListGuardTest {
    private static final long WINDOW = 600_000_000;
    private final ListGuard guard = new ListGuard(new ListGuard.Limits(0.5, WINDOW), list("1/a@n 1/b@s 2/c@n 2/d@s"));

    private static List<String> reasons(ListGuard.Verdict verdict) {
        return verdict instanceof ListGuard.HeldBack held ? held.reasons() : List.of();
    }

    /** A list of the endpoints from .. to - 1 of destination 1 in zone n. */
    private static Generation endpoints(int from, int to) {
        return list(IntStream.range(from, to).mapToObj(i -> "1/e" + i + "@n").collect(Collectors.joining(" ")));
    }

    @Test void aListThatEmptiesADestinationNeedsItsOwnConfirmation() {
        Generation next = list("1/a@n 1/b@s 1/e@n 1/f@s 2/d@s!");
        assertThat(reasons(guard.judge(next, "", 0)))
                .containsExactly("destination 2 would lose all of its 2 endpoints");
        assertThat(guard.judge(next, "another", 0)).isInstanceOf(ListGuard.HeldBack.class);
        assertThat(guard.inForce().label()).isEqualTo("1/a@n 1/b@s 2/c@n 2/d@s");
        assertThat(guard.judge(next, next.fingerprint(), 0)).isEqualTo(new ListGuard.Accepted(true));
        assertThat(guard.judge(next, "", 0)).isEqualTo(new ListGuard.Unchanged());
    }

    @Test void aListThatRemovesMostOfAZoneIsHeldBack() {
        assertThat(reasons(guard.judge(list("1/b@s 2/d@s"), "", 0)))
                .containsExactly("zone n would lose 2 of 2 endpoints, at most 50% may go");
        assertThat(guard.judge(list("1/a@n 1/b@s 2/d@s"), "", 0)).isEqualTo(new ListGuard.Accepted(false));
    }

    /** A faulty writer may drop a few endpoints with each list: removals add up until they are older than the window. */
    @Test void smallRemovalsAddUpWithinTheWindow() {
        ListGuard guarded = new ListGuard(new ListGuard.Limits(0.5, WINDOW), endpoints(0, 100));
        for (int removed = 10; removed <= 50; removed += 10) {
            assertThat(guarded.judge(endpoints(removed, 100), "", removed)).isEqualTo(new ListGuard.Accepted(false));
        }
        assertThat(reasons(guarded.judge(endpoints(60, 100), "", 60)))
                .containsExactly("zone n would lose 60 of 100 endpoints, at most 50% may go");
        assertThat(guarded.judge(endpoints(60, 100), "", WINDOW + 50)).isEqualTo(new ListGuard.Accepted(false));
    }

    @Test void returnedEndpointsDoNotCountAndAConfirmedListIsTheNewBaseline() {
        ListGuard guarded = new ListGuard(new ListGuard.Limits(0.5, WINDOW), endpoints(0, 100));
        assertThat(guarded.judge(endpoints(50, 100), "", 1)).isEqualTo(new ListGuard.Accepted(false));
        assertThat(guarded.judge(endpoints(0, 100), "", 2)).isEqualTo(new ListGuard.Accepted(false));
        assertThat(guarded.judge(endpoints(40, 100), "", 3)).isEqualTo(new ListGuard.Accepted(false));
        Generation few = endpoints(90, 100);
        assertThat(guarded.judge(few, few.fingerprint(), 4)).isEqualTo(new ListGuard.Accepted(true));
        assertThat(guarded.judge(endpoints(95, 100), "", 5)).isEqualTo(new ListGuard.Accepted(false));
    }

    @Test void theFirstListIsAcceptedUnlessEmptyAndReasonsAreLimited() {
        ListGuard first = new ListGuard(new ListGuard.Limits(0, 0), null);
        assertThat(reasons(first.judge(list("1/a@n!"), "", 0))).containsExactly("it names no endpoint that serves");
        String all = IntStream.range(0, 20).mapToObj(i -> i + "/e@z" + i).collect(Collectors.joining(" "));
        assertThat(first.judge(list(all), "", 0)).isEqualTo(new ListGuard.Accepted(false));
        assertThat(reasons(first.judge(list("0/e@z0"), "", 0))).hasSize(6).last().isEqualTo("and 33 more");
    }
}
