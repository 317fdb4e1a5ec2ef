package wrenreach.lab;

import java.util.Locale;

/**
 * The kinds of faults. New ones are added at the end: the days that are generated from a seed depend on the order. KILL_WRITTEN
 * kills the process after the next write of its journal, before any byte goes out; KILL_TORN in the middle of that write.
 * VANISH and VANISH_NODE: the machine is gone without closing its connections.
 */
enum FaultKind {
    KILL(TargetType.NODE, Environment.BOTH), KILL_WRITTEN(TargetType.NODE, Environment.MEMORY), KILL_TORN(TargetType.NODE, Environment.MEMORY),
    VANISH_NODE(TargetType.NODE, Environment.BOTH), STOP(TargetType.NODE, Environment.BOTH), RELOAD(TargetType.NODE, Environment.BOTH),
    DISK_FULL(TargetType.NODE, Environment.MEMORY), WRITE_FAILS(TargetType.NODE, Environment.MEMORY), CUT_PLATFORM(TargetType.NODE, Environment.BOTH),
    CUT_RECEIVER(TargetType.NODE, Environment.BOTH), CUT_CLIENTS(TargetType.NODE, Environment.BOTH), DOWN(TargetType.RECEIVER, Environment.BOTH),
    VANISH(TargetType.RECEIVER, Environment.BOTH), SILENT(TargetType.RECEIVER, Environment.BOTH), SLOW(TargetType.RECEIVER, Environment.BOTH),
    FULL(TargetType.RECEIVER, Environment.BOTH), ERRING(TargetType.RECEIVER, Environment.BOTH), DRAIN(TargetType.RECEIVER, Environment.BOTH),
    /** The process is suspended (SIGSTOP) and later resumed (SIGCONT). */
    FREEZE(TargetType.NODE, Environment.BOTH),
    /** A planned stop whose signal the process ignores; the platform kills it after its stop timeout. */
    IGNORES_TERM(TargetType.NODE, Environment.BOTH),
    /** The process is killed, and every start fails until the fault is over. */
    BROKEN_START(TargetType.NODE, Environment.BOTH),
    /** The process is killed at once, and the next one is suspended for the length of the fault right after its start. */
    SLOW_START(TargetType.NODE, Environment.BOTH),
    /**
     * The process is killed; its state folder is lost, or as it was when the fault began, or read-only until the fault is over.
     */
    LOSE_STATE(TargetType.NODE, Environment.BOTH), OLD_STATE(TargetType.NODE, Environment.BOTH), READONLY_STATE(TargetType.NODE, Environment.BOTH),
    CUT(TargetType.LINK, Environment.BOTH), REFUSE(TargetType.LINK, Environment.BOTH),
    /** A share of the links is reset at once; figure: the share, all by default. */
    RESET(TargetType.LINK, Environment.BOTH),
    DELAY(TargetType.LINK, Environment.BOTH), RATE(TargetType.LINK, Environment.BOTH), HALF(TargetType.LINK, Environment.BOTH),
    LOSS(TargetType.LINK, Environment.BOTH),
    DOUBLING(TargetType.LINK, Environment.BOTH), REORDERING(TargetType.LINK, Environment.BOTH),
    /** The relay that carries the link dies with all its connections, and is back when the fault is over. */
    RELAY_DIES(TargetType.LINK, Environment.BOTH),
    /** Nothing passes between the sets of parties, such as n0,n1|n2,platform. */
    PARTITION(TargetType.SETS, Environment.BOTH),
    /** MUTE: the node receives, but nothing that it sends arrives. DEAF: the other way round. */
    MUTE(TargetType.NODE, Environment.BOTH), DEAF(TargetType.NODE, Environment.BOTH),
    /** Each node is connected only to the nodes before and after it. */
    RING(TargetType.NODES, Environment.BOTH),
    /** System calls of the node's process fail; figure: the share that fails, more: the errno, 0 for a random one. */
    SOCKET_FAILS(TargetType.NODE, Environment.PROCESSES), CONNECT_FAILS(TargetType.NODE, Environment.PROCESSES), ACCEPT_FAILS(TargetType.NODE, Environment.PROCESSES),
    TRANSFER_FAILS(TargetType.NODE, Environment.PROCESSES), SHORT_TRANSFERS(TargetType.NODE, Environment.PROCESSES),
    WAITS_INTERRUPTED(TargetType.NODE, Environment.PROCESSES), FOLDER_FAILS(TargetType.NODE, Environment.PROCESSES),
    /** The wall clock of the node's machine is stepped by figure seconds, and back again when the fault is over. */
    WALL_AHEAD(TargetType.NODE, Environment.PROCESSES), WALL_BEHIND(TargetType.NODE, Environment.PROCESSES),
    /** The process is killed in the middle of its next write to the state folder. */
    KILL_IN_WRITE(TargetType.NODE, Environment.PROCESSES),
    /** A share of the calls (figure) is refused with 503 after some time, in place of being served. */
    REJECTING(TargetType.RECEIVER, Environment.BOTH),
    /** A share of the responses (figure) is sent again, up to more ms after the response, or after the connection's next request. */
    COPY_AFTER_RESPONSE(TargetType.RECEIVER, Environment.BOTH), COPY_AFTER_REQUEST(TargetType.RECEIVER, Environment.BOTH),
    /** A share of the responses (figure) is sent again in part, up to more ms after the connection's next request. */
    HALF_COPY(TargetType.RECEIVER, Environment.BOTH),
    /** A share of the responses (figure) has the one before it on its connection directly ahead of it, in one write. */
    COPY_WITH_RESPONSE(TargetType.RECEIVER, Environment.BOTH),
    /** A share of the responses (figure) tells another length than it has, has interim responses ahead of it, or comes byte by byte. */
    WRONG_LENGTH(TargetType.RECEIVER, Environment.BOTH), INTERIM(TargetType.RECEIVER, Environment.BOTH),
    IN_PIECES(TargetType.RECEIVER, Environment.BOTH),
    /** The receiver's responses of a status are all alike, to the byte. */
    ALIKE(TargetType.RECEIVER, Environment.BOTH),
    /** The platform refuses a share (figure) of the node's posts of notices with 503. */
    NOTICES_REFUSED(TargetType.NODE, Environment.BOTH),
    /** The platform answers a share (figure) of the node's posts twice: up to more ms after the answer, or after the next post. */
    NOTICE_COPIES(TargetType.NODE, Environment.BOTH),
    /** A share (figure) of the lists that discovery sends to the node is sent again, up to more ms later, after newer ones too. */
    LIST_COPIES(TargetType.NODE, Environment.BOTH),
    /** As many clients as the figure connect to the node and ask nothing. */
    CROWD(TargetType.NODE, Environment.BOTH);

    final TargetType targetType;
    final Environment environment;

    FaultKind(TargetType targetType, Environment environment) {
        this.targetType = targetType;
        this.environment = environment;
    }

    String keyword() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Whether it strikes a share of the responses of an HTTP server: figure: the share, more: the longest delay in ms. */
    boolean ofResponses() {
        return ordinal() >= REJECTING.ordinal() && ordinal() <= LIST_COPIES.ordinal();
    }

    /** The system call of the process that the fault makes fail; null: none. */
    SystemCallFaults.Call failingCall() {
        return switch (this) {
            case SOCKET_FAILS -> SystemCallFaults.Call.SOCKET;
            case CONNECT_FAILS -> SystemCallFaults.Call.CONNECT;
            case ACCEPT_FAILS -> SystemCallFaults.Call.ACCEPT;
            case TRANSFER_FAILS -> SystemCallFaults.Call.TRANSFER;
            case SHORT_TRANSFERS -> SystemCallFaults.Call.SHORT;
            case WAITS_INTERRUPTED -> SystemCallFaults.Call.WAIT;
            case FOLDER_FAILS -> SystemCallFaults.Call.FOLDER;
            default -> null;
        };
    }

    /** What a fault strikes: one or some nodes, receivers, links, sets of parties, or always all nodes. */
    enum TargetType { NODE, RECEIVER, LINK, SETS, NODES }

    /** Where a fault can be played: in memory (virtual time), with node processes, or both. */
    enum Environment { BOTH, MEMORY, PROCESSES }
}
