package wrenreach.ledger;

import wrenreach.operator.Key;
import wrenreach.operator.Section;
import wrenreach.operator.Unit;

/** Section [store] of the operator's file: outstanding mails are kept in the store. Times are in microseconds. */
record StoreSection(
        @Key(about = "os: what was written outlasts the process; sync: it outlasts a loss of power, and answers wait for it",
                byDefault = "os", oneOf = {"os", "sync"}) String durability,
        @Key(about = "for so long ids of mails that have ended are known, so that a repeat has no second effect",
                byDefault = "10m", unit = Unit.DURATION, least = "0s", most = "24h") long remembered,
        @Key(about = "the part of the state folder's room that these ids may take", byDefault = "0.1", least = "0",
                most = "0.3") double rememberedPart) {
    static final Section<StoreSection> SECTION = new Section<>("store", StoreSection.class);
}
