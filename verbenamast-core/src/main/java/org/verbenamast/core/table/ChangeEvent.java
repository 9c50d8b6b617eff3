package org.verbenamast.core.table;

/** The events of the chart {@code change}: one for each kind of command. */
public enum ChangeEvent {
    /** An operator proposes the change. */
    PROPOSE,
    /** An operator replaces the content of the change. */
    EDIT,
    /** An operator approves the content. */
    APPROVE,
    /** An operator refuses the change of the other organisation. */
    REFUSE,
    /** An operator withdraws a change of their own organisation. */
    WITHDRAW
}
