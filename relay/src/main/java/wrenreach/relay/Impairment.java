package wrenreach.relay;

/**
 * One thing that is wrong with a way. DELAY: figure and up to more, in milliseconds; RATE: figure, in bytes a second; LOSS,
 * DOUBLING, REORDERING: figure, a share of the datagrams, those that are overtaken being up to more milliseconds late.
 */
public record Impairment(Kind kind, double figure, double more) {
    /** What may be wrong. */
    public enum Kind {
        /** Nothing gets through; what a connection carries is kept and goes on afterwards, as TCP sends it again. */
        CUT,
        /** New connections are refused. */
        REFUSE,
        /** All comes later. */
        DELAY,
        /** No more than so much gets through. */
        RATE,
        /** Half of the next piece gets through, then nothing. */
        HALF,
        /** Datagrams are lost, come twice, overtake each other; connections are not touched. */
        LOSS, DOUBLING, REORDERING
    }
}
