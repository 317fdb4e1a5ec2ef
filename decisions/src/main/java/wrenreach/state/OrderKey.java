package wrenreach.state;

import java.util.ArrayDeque;
import java.util.Deque;

/** The mails of one key, in the order of their arrival. */
public final class OrderKey {
    public final Deque<Mail> mails = new ArrayDeque<>(4);
    public long blockedUntil;
}
