package wrenreach.state;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DirectoryTest {
    private final Directory<String> directory = new Directory<>();

    private Endpoint endpoint(int number, boolean listed) {
        Endpoint endpoint = directory.endpoint("s-" + number,
                () -> new Endpoint(number, directory.destination(1), 0, 0));
        if (listed) {
            endpoint.listed = true;
        }
        return endpoint;
    }

    /** As long as a node runs, endpoints with new ids replace old ones. If they were kept, memory would run out. */
    @Test void unlistedEndpointsAreRemovedUnlessACallIsInFlight() {
        Endpoint listed = endpoint(-1, true);
        Endpoint inUse = endpoint(-2, false);
        inUse.inFlight = 1;
        for (int i = 0; i < 1000; i++) {
            endpoint(i, false);
            directory.sweep(0);
        }
        assertThat(directory.endpoint("s--1")).isSameAs(listed);
        assertThat(directory.endpoint("s--2")).isSameAs(inUse);
        assertThat(directory.endpoint("s-1")).isNull();
    }
}
