package wrenreach.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelConfig;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Many clients that send at full speed: what the loop reads from all of them before it answers is bounded. */
class ClientReadAllocatorTest {
    private static final int CLIENTS = 500;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final ClientReadAllocator allocator = new ClientReadAllocator(tasks::add);
    private final ChannelConfig config = new EmbeddedChannel().config();
    private int bytesRead;
    private int requestsRead;

    /** Reads once from a socket that holds so many bytes; returns the bytes read. */
    private int read(ClientReadAllocator.ClientHandle handle, int available, int requestBytes) {
        ByteBuf buffer = handle.allocate(Buffers.ALLOCATOR);
        int bytes = Math.min(available, buffer.writableBytes());
        handle.attemptedBytesRead(buffer.writableBytes());
        handle.lastBytesRead(bytes);
        buffer.release();
        handle.incMessagesRead(1);
        for (int i = 0; i < bytes / requestBytes; i++) {
            handle.countRequest();
        }
        bytesRead += bytes;
        requestsRead += bytes / requestBytes;
        return bytes;
    }

    /** Reads from a socket as the loop does when it finds it readable; returns what is left in it. */
    private int readAll(ClientReadAllocator.ClientHandle handle, int available, int requestBytes) {
        handle.reset(config);
        int left = available;
        do {
            left -= read(handle, left, requestBytes);
        } while (left > 0 && handle.continueReading());
        handle.readComplete();
        return left;
    }

    private void endPass() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
        bytesRead = 0;
        requestsRead = 0;
    }

    private List<ClientReadAllocator.ClientHandle> clients() {
        List<ClientReadAllocator.ClientHandle> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(allocator.newHandle());
        }
        return clients;
    }

    /** Guards against requests of many clients that exceed the heap in one iteration. */
    @Test void bytesReadFromAllClientsAreBounded() {
        List<ClientReadAllocator.ClientHandle> clients = clients();
        for (int pass = 0; pass < 10; pass++) {
            clients.forEach(client -> readAll(client, Integer.MAX_VALUE, 20_000));
            assertThat(bytesRead).isLessThanOrEqualTo(ClientReadAllocator.SHARED_BYTES + CLIENTS * ClientReadAllocator.MAX_READ_BYTES);
            endPass();
        }
    }

    /** Guards against short requests of many clients that keep the others waiting for an iteration of seconds. */
    @Test void shortRequestsReadFromAllClientsAreBounded() {
        List<ClientReadAllocator.ClientHandle> clients = clients();
        int requestBytes = 64;
        for (int pass = 0; pass < 10; pass++) {
            clients.forEach(client -> readAll(client, Integer.MAX_VALUE, requestBytes));
            if (pass > 0) {
                int beyondBudget = CLIENTS * ClientReadAllocator.SMALL_READ_BYTES / requestBytes;
                int lastReadWithinBudget = ClientReadAllocator.MAX_READ_BYTES / requestBytes;
                assertThat(requestsRead).isLessThanOrEqualTo(ClientReadAllocator.SHARED_REQUESTS + lastReadWithinBudget + beyondBudget);
            }
            endPass();
        }
    }

    @Test void requestOfAnotherClientIsReadWholeBesideThem() {
        List<ClientReadAllocator.ClientHandle> clients = clients();
        ClientReadAllocator.ClientHandle usual = allocator.newHandle();
        int largestRequest = SubmissionServer.MAX_CLIENT_BYTES;
        int left = largestRequest;
        int passes = 0;
        for (; left > 0; passes++) {
            clients.forEach(client -> readAll(client, Integer.MAX_VALUE, 64));
            left = readAll(usual, left, largestRequest);
            endPass();
        }
        // The first read is short, and sizes grow with each read that fills its buffer.
        assertThat(passes).isLessThanOrEqualTo(2 + largestRequest / ClientReadAllocator.MAX_READ_BYTES);
    }

    @Test void everythingThatOneClientHasSentIsReadAtOnceUpToTheLargestRequest() {
        assertThat(readAll(allocator.newHandle(), SubmissionServer.MAX_CLIENT_BYTES, 2000)).isZero();
    }
}
