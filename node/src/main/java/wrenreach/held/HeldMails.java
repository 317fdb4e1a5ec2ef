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

/** The mails that the node has in memory, by id and by the object that the decisions know them as. Owned by the node's event loop. */
public final class HeldMails {
    private final Settings settings;
    private final List<String> queueClasses;
    private final List<String> tenants;
    private final Directory<String> directory;
    private final Map<String, HeldMail> byId = new HashMap<>();
    private final Map<Mail, HeldMail> byMail = new IdentityHashMap<>();
    /** Order keys that are used for the first time in this process are blocked until then; 0: they are not. */
    private long keysBlockedUntil;
    /** True: recorded times are by the present clock; false: by the wall clock as it was set at the time. */
    private boolean clockContinued = true;

    /** The names of queue classes and tenants are in the order of their numbers in the settings. */
    public HeldMails(Settings settings, List<String> queueClasses, List<String> tenants, Directory<String> directory) {
        this.settings = settings;
        this.queueClasses = queueClasses;
        this.tenants = tenants;
        this.directory = directory;
    }

    /**
     * An earlier process was running until shortly before now: its last attempts may have timed out or lost their connection just then, so
     * order keys stay blocked for the settle time that follows such an end.
     */
    public void blockRecoveredKeys(long now) {
        keysBlockedUntil = now + settings.rules().orderSettleTime();
    }

    /** Recorded times are by the wall clock of another boot: a recovered mail gets no longer lifetime than its queue class allows. */
    public void clockNotContinued() {
        clockContinued = false;
    }

    /** What is wrong with a submission: a text that is too long to be recorded, or an unknown name; or null. */
    public String validationError(Submission submission) {
        return submission.tooLong() ? "too long"
                : !queueClasses.contains(submission.queueClass()) ? "unknown class"
                : !tenants.isEmpty() && !tenants.contains(submission.tenant()) ? "unknown tenant"
                : !directory.listed(submission.destination()) ? "unknown destination" : null;
    }

    public boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Whether the mail of this id is accepted and not completed. */
    public boolean isAccepted(String id) {
        HeldMail held = byId.get(id);
        return held != null && held.accepted;
    }

    /** Null: the mail is not held. */
    public HeldMail get(Mail mail) {
        return byMail.get(mail);
    }

    /** Accepted mails that the decisions have finished, with no attempt in flight, but that have no ending here: their decision was lost. */
    public List<HeldMail> endedByDecisionsOnly() {
        return byMail.values().stream().filter(held -> held.accepted && held.ending == null && held.mail.finished && held.mail.inFlight == 0).toList();
    }

    public int size() {
        return byId.size();
    }

    /** Adds a mail and creates the object that the decisions know it as. */
    public Mail add(HeldMail held, long now) {
        return add(held, now, held.deadline);
    }

    private Mail add(HeldMail held, long now, long deadline) {
        Submission submission = held.submission;
        int queueClass = Math.max(0, queueClasses.indexOf(submission.queueClass()));
        OrderKey key = submission.key().isEmpty() || !settings.classes().get(queueClass).ordered() ? null
                : directory.orderKey(submission.key());
        if (key != null) {
            // Keeps order keys blocked across a restart: nothing records which of them were blocked, so all are.
            key.blockedUntil = Math.max(key.blockedUntil, keysBlockedUntil);
        }
        held.mail = new Mail(submission.id().hashCode(), directory.destination(submission.destination()), key, queueClass,
                tenants.indexOf(submission.tenant()), now, deadline);
        byId.put(submission.id(), held);
        byMail.put(held.mail, held);
        return held.mail;
    }

    /** Adds a mail that an earlier process accepted, with its attempts as the ledger recorded them. */
    public Mail recover(HeldMail held, long now) {
        int queueClass = Math.max(0, queueClasses.indexOf(held.submission.queueClass()));
        long latestDeadline = now + settings.classes().get(queueClass).lifetime();
        Mail mail = add(held, now, clockContinued ? held.deadline : Math.min(held.deadline, latestDeadline));
        mail.recovered = true;
        for (RecordedAttempt recorded : held.attempts) {
            Endpoint known = directory.endpoint(recorded.endpoint());
            Endpoint endpoint = known != null ? known : new Endpoint(-1, mail.destination, settings.kinds().size(), recorded.zone());
            long sentAt = Math.min(recorded.sentAt(), now);
            DeliveryAttempt attempt = new DeliveryAttempt(mail, endpoint, sentAt, sentAt, new Call(sentAt));
            attempt.open = false;
            attempt.neverRan = recorded.neverRan();
            mail.attempts.add(attempt);
        }
        return mail;
    }

    public void remove(HeldMail held) {
        byId.remove(held.submission.id(), held);
        byMail.remove(held.mail);
    }
}
