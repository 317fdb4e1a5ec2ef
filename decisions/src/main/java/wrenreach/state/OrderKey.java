package wrenreach.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** The mails of one order key. */
public final class OrderKey {
    /** Mails that are not finished or have attempts in flight, in the order of their admission. */
    public final Deque<Mail> mails = new ArrayDeque<>(4);
    /** Until when no mail of the key may get its first attempt, because an earlier one may still be processed; in microseconds. */
    public long blockedUntil;
}
