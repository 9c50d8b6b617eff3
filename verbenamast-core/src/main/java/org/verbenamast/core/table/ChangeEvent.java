package org.verbenamast.core.table;

/** What may happen to a change of the table. */
public enum ChangeEvent {
    /** An operator proposes it. */
    PROPOSE,
    /** An operator replaces its content. */
    EDIT,
    /** An operator signs off its content. */
    APPROVE,
    /** An operator of the other organisation turns it down. */
    REFUSE,
    /** An operator of the author's organisation takes it back. */
    WITHDRAW
}
