package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import wrenreach.state.ConnectionHistory;
import wrenreach.state.ResponseFingerprint;
import wrenreach.state.ResponseVariety;

class ConnectionReusePolicyTest {
    private static final long LIFETIME_US = 1_000_000;
    private final ConnectionReusePolicy policy = new ConnectionReusePolicy(LIFETIME_US);
    private final ResponseVariety endpoint = new ResponseVariety();

    private static ResponseFingerprint delivered(int body) {
        return new ResponseFingerprint(body, body, true, false);
    }

    /** A connection on which responses of these bodies came, each of which counted. */
    private ConnectionHistory connection(int... bodies) {
        ConnectionHistory connection = new ConnectionHistory();
        for (int body : bodies) {
            assertThat(policy.counts(connection, delivered(body))).isTrue();
            policy.responseCounted(endpoint, connection, delivered(body));
        }
        return connection;
    }

    @Test void connectionIsReusedOnlyWhereTheLastTwoResponsesDiffer() {
        ConnectionHistory first = connection(1);
        assertThat(policy.mayReuse("a", endpoint, first, 0)).isFalse();
        ConnectionHistory second = connection(2);
        assertThat(policy.mayReuse("a", endpoint, second, 0)).isTrue();
        connection(2);
        assertThat(policy.mayReuse("a", endpoint, second, 0)).isFalse();
    }

    @Test void refusalsDoNotShowThatResponsesDiffer() {
        policy.responseCounted(endpoint, new ConnectionHistory(), new ResponseFingerprint(7, 7, false, false));
        assertThat(policy.mayReuse("a", endpoint, connection(1), 0)).isFalse();
    }

    @Test void responseCountsIfItDiffersFromAllBeforeItOnItsConnection() {
        ConnectionHistory connection = connection(1, 2, 3);
        assertThat(policy.counts(connection, delivered(4))).isTrue();
        assertThat(policy.counts(connection, delivered(1))).isFalse();
        assertThat(policy.counts(connection, new ResponseFingerprint(4, 4, true, true))).isFalse();
        assertThat(policy.statusLineCounts(connection)).isFalse();
        assertThat(policy.statusLineCounts(new ConnectionHistory())).isTrue();
    }

    @Test void equalRefusalsProveNoStrayResponse() {
        assertThat(policy.provesStray(new ResponseFingerprint(1, 0, false, false))).isFalse();
        assertThat(policy.provesStray(delivered(1))).isTrue();
        assertThat(policy.provesStray(new ResponseFingerprint(1, 0, false, true))).isTrue();
    }

    @Test void addressIsDistrustedForSomeTimeAfterAStrayResponse() {
        ConnectionHistory connection = connection(1, 2);
        policy.strayResponse("a", 0);
        assertThat(policy.mayReuse("a", endpoint, connection, policy.distrustPeriod() - 1)).isFalse();
        assertThat(policy.mayReuse("b", endpoint, connection, 1)).isTrue();
        assertThat(policy.mayReuse("a", endpoint, connection, policy.distrustPeriod())).isTrue();
        assertThat(policy.distrustPeriod()).isGreaterThan(LIFETIME_US);
    }

    /** Guards against memory that grows with the addresses that send stray responses: 310,000 receivers may. */
    @Test void manyDistrustedAddressesMakeAllDistrusted() {
        ConnectionHistory connection = connection(1, 2);
        for (int address = 0; address < 310_000; address++) {
            policy.strayResponse(address, 0);
        }
        assertThat(policy.distrustedAddresses()).isEqualTo(1024);
        assertThat(policy.mayReuse("never seen", endpoint, connection, 1)).isFalse();
        assertThat(policy.mayReuse("never seen", endpoint, connection, policy.distrustPeriod())).isTrue();
    }

    @Test void connectionIsNotReusedForEver() {
        ConnectionHistory connection = new ConnectionHistory();
        int calls = 0;
        for (; calls < 1000 && policy.mayReuse("a", endpoint, connection, 0) || calls < 2; calls++) {
            policy.responseCounted(endpoint, connection, delivered(calls + 1));
        }
        assertThat(calls).isEqualTo(128);
    }
}
