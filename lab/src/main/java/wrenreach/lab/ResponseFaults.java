package wrenreach.lab;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Faults of the responses of one HTTP server: responses that are sent twice, in part, with another length than they have, or in pieces.
 * Each fault strikes a share of the responses of all connections of the server.
 */
final class ResponseFaults {
    private static final long NS_PER_MS = 1_000_000;
    /** Of the copies timed from a response, one in so many is followed by another one. */
    private static final int SECOND_COPY_ONE_IN = 5;
    /** Bytes by which a response's length is off, at most. */
    private static final int MAX_LENGTH_ERROR = 12;

    private final World world;
    private final Map<FaultKind, Scenario.Fault> active = new EnumMap<>(FaultKind.class);

    ResponseFaults(World world) {
        this.world = world;
    }

    void begin(Scenario.Fault fault) {
        active.put(fault.kind(), fault);
        world.scheduleIn(fault.forMs() * NS_PER_MS, () -> active.remove(fault.kind(), fault));
    }

    /** Whether the next response is struck by this kind of fault. Draws no random number while no such fault is active. */
    boolean strikes(FaultKind kind) {
        Scenario.Fault fault = active.get(kind);
        return fault != null && world.withProbability(fault.figure());
    }

    /** A random time up to the longest delay of the active fault of this kind, in nanoseconds. */
    long delay(FaultKind kind) {
        Scenario.Fault fault = active.get(kind);
        return fault == null ? 0 : (long) (world.nextUniform() * fault.more() * NS_PER_MS);
    }

    /** The responses of one connection. */
    final class Connection {
        private final Consumer<String> write;
        private String lastResponse = "";
        /** Whether the response written last was struck in a way that leaves its recipient unable to read it whole. */
        private boolean spoilt;

        /** write: sends text to the peer, or does nothing once the connection is closed. */
        Connection(Consumer<String> write) {
            this.write = write;
        }

        /** A request has come: may send a copy of the response to the one before it. */
        void requestReceived() {
            if (lastResponse.isEmpty()) {
                return;
            }
            String before = lastResponse;
            if (strikes(FaultKind.COPY_AFTER_REQUEST)) {
                world.scheduleIn(delay(FaultKind.COPY_AFTER_REQUEST), () -> write.accept(before));
            }
            if (strikes(FaultKind.HALF_COPY)) {
                String half = before.substring(0, 1 + world.nextIntBelow(before.length() - 1));
                world.scheduleIn(delay(FaultKind.HALF_COPY), () -> write.accept(half));
            }
        }

        /** Writes a response, struck by the active faults. */
        void respond(String response) {
            String text = strikes(FaultKind.WRONG_LENGTH) ? withWrongLength(response) : response;
            spoilt = !text.equals(response);
            if (strikes(FaultKind.COPY_WITH_RESPONSE) && !lastResponse.isEmpty()) {
                text = lastResponse + text;
            }
            if (strikes(FaultKind.INTERIM)) {
                text = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + text;
            }
            if (strikes(FaultKind.IN_PIECES)) {
                text.chars().forEach(c -> write.accept(String.valueOf((char) c)));
            } else {
                write.accept(text);
            }
            lastResponse = response;
            if (strikes(FaultKind.COPY_AFTER_RESPONSE)) {
                copyLater(response);
                if (world.nextIntBelow(SECOND_COPY_ONE_IN) == 0) {
                    copyLater(response);
                }
            }
        }

        private void copyLater(String response) {
            world.scheduleIn(delay(FaultKind.COPY_AFTER_RESPONSE), () -> write.accept(response));
        }

        boolean lastWasSpoilt() {
            return spoilt;
        }

        /** The response with a length that is a few bytes longer than its body, or shorter where the body allows it. */
        private String withWrongLength(String response) {
            int bodyAt = response.indexOf("\r\n\r\n") + 4;
            int length = response.length() - bodyAt;
            int error = 1 + world.nextIntBelow(MAX_LENGTH_ERROR);
            int told = world.withProbability(0.5) && length > error ? length - error : length + error;
            return response.replaceFirst("Content-Length: \\d+", "Content-Length: " + told);
        }
    }
}
