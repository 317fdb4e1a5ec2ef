package wrenreach.relay;

/**
 * One fault of a direction of a link. DELAY: figure plus a random part of up to more, in milliseconds. RATE: figure, in bytes
 * per second. LOSS, DOUBLING, REORDERING: figure is the share (0 to 1) of datagrams affected; a reordered datagram is up to
 * more milliseconds late.
 */
public record Impairment(Kind kind, double figure, double more) {
    /** The kinds of faults. */
    public enum Kind {
        /** Nothing passes. Data of a connection is held and passes once the cut ends, as TCP retransmits it; datagrams are lost. */
        CUT,
        /** New connections are refused. */
        REFUSE,
        /** All data is delayed. */
        DELAY,
        /** The throughput is limited. */
        RATE,
        /** The first half of the next piece of data passes, then nothing. */
        HALF,
        /** Datagrams are lost, arrive twice or overtake each other; connections are not affected. */
        LOSS, DOUBLING, REORDERING
    }
}
