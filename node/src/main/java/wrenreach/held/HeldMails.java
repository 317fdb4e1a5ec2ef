package wrenreach.held;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import wrenreach.api.Settings;
import wrenreach.state.Call;
import wrenreach.state.DeliveryAttempt;
import wrenreach.state.Directory;
import wrenreach.state.Endpoint;
import wrenreach.state.Mail;
import wrenreach.state.OrderKey;

/** The mails that the node holds, by id and by what the module knows them as. */
public final class HeldMails {
    private final Settings settings;
    private final List<String> queueClasses;
    private final List<String> tenants;
    private final Directory<String> directory;
    private final Map<String, HeldMail> byId = new HashMap<>();
    private final Map<Mail, HeldMail> byMail = new IdentityHashMap<>();
    private long keysBlockedUntil;
    /** Recorded times are by the clock that now is; else by the wall's as it was then. */
    private boolean clockContinued = true;

    /** The names of queue classes and tenants stand in the order of the settings' numbers. */
    public HeldMails(Settings settings, List<String> queueClasses, List<String> tenants, Directory<String> directory) {
        this.settings = settings;
        this.queueClasses = queueClasses;
        this.tenants = tenants;
        this.directory = directory;
    }

    /** An earlier process was at work until before now: its last connects may have timed out or broken just then. */
    public void blockRecoveredKeys(long now) {
        keysBlockedUntil = now + settings.rules().orderSettleTime();
    }

    /** Recorded times are by the wall's clock of another boot: no span is taken to be longer than its class allows. */
    public void clockNotContinued() {
        clockContinued = false;
    }

    /** What is wrong with a mail of these names, or null. */
    public String validationError(Submission s) {
        return !queueClasses.contains(s.queueClass()) ? "unknown class"
                : !tenants.isEmpty() && !tenants.contains(s.tenant()) ? "unknown tenant"
                : !directory.listed(s.destination()) ? "unknown destination" : null;
    }

    public boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Whether the mail of this id has been taken on. */
    public boolean isAccepted(String id) {
        HeldMail held = byId.get(id);
        return held != null && held.accepted;
    }

    public HeldMail get(Mail mail) {
        return byMail.get(mail);
    }

    /** Accepted messages that are over for the decisions, with no attempt out, and that have no ending here. */
    public List<HeldMail> endedByDecisionsOnly() {
        return byMail.values().stream().filter(held -> held.accepted && held.ending == null && held.mail.finished && held.mail.inFlight == 0).toList();
    }

    public int size() {
        return byId.size();
    }

    /** Holds a mail and makes what the module is to know it as. */
    public Mail add(HeldMail held, long now) {
        return add(held, now, held.deadline);
    }

    private Mail add(HeldMail held, long now, long endsBy) {
        Submission s = held.submission;
        int queueClass = Math.max(0, queueClasses.indexOf(s.queueClass()));
        OrderKey key = s.key().isEmpty() || !settings.classes().get(queueClass).ordered() ? null
                : directory.orderKey(s.key());
        if (key != null) {
            // Guards the rest of keys across a restart: nobody remembers which of them rest.
            key.blockedUntil = Math.max(key.blockedUntil, keysBlockedUntil);
        }
        held.mail = new Mail(s.id().hashCode(), directory.destination(s.destination()), key, queueClass,
                tenants.indexOf(s.tenant()), now, endsBy);
        byId.put(s.id(), held);
        byMail.put(held.mail, held);
        return held.mail;
    }

    /** The same for a mail of an earlier process, with its connects as the journal knows them. */
    public Mail recover(HeldMail owed, long now) {
        int queueClass = Math.max(0, queueClasses.indexOf(owed.submission.queueClass()));
        long latest = now + settings.classes().get(queueClass).lifetime();
        Mail mail = add(owed, now, clockContinued ? owed.deadline : Math.min(owed.deadline, latest));
        mail.recovered = true;
        for (RecordedAttempt past : owed.attempts) {
            Endpoint known = directory.endpoint(past.endpoint());
            Endpoint at = known != null ? known : new Endpoint(-1, mail.destination, settings.kinds().size(), past.zone());
            long sentAt = Math.min(past.sentAt(), now);
            DeliveryAttempt connect = new DeliveryAttempt(mail, at, sentAt, sentAt, new Call(sentAt));
            connect.open = false;
            connect.neverRan = past.neverRan();
            mail.attempts.add(connect);
        }
        return mail;
    }

    public void remove(HeldMail held) {
        byId.remove(held.submission.id(), held);
        byMail.remove(held.mail);
    }
}
