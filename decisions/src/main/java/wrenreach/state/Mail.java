package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A mail that the node took. */
public final class Mail {
    public final long id;
    public final Destination to;
    public final OrderKey key;
    public final int queueClass;
    public final int tenant;
    public final long arrived;
    public final long endsBy;
    public final List<Connect> connects = new ArrayList<>(2);
    public long dueBy;
    public boolean overShare;
    public long notBefore;
    public long sequence;
    public int out;
    public boolean over;
    /** Taken on by an earlier process: it is owed a try, whatever comes beside it. */
    public boolean owed;

    public Mail(long id, Destination to, OrderKey key, int queueClass, int tenant, long arrived, long endsBy) {
        this.id = id;
        this.to = to;
        this.key = key;
        this.queueClass = queueClass;
        this.tenant = tenant;
        this.arrived = arrived;
        this.endsBy = endsBy;
    }
}
