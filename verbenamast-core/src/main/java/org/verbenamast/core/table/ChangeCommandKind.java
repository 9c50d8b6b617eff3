package org.verbenamast.core.table;

/** What operators may do with a change of the table. */
public enum ChangeCommandKind {
    /** Proposes a new change. */
    PROPOSE(ChangeEvent.PROPOSE, true),
    /** Replaces the content of a change, which loses its approvals. */
    EDIT(ChangeEvent.EDIT, true),
    /** Signs off the content of a change. */
    APPROVE(ChangeEvent.APPROVE, false),
    /** Turns down a change of the other organisation. */
    REFUSE(ChangeEvent.REFUSE, false),
    /** Takes back a change of the own organisation. */
    WITHDRAW(ChangeEvent.WITHDRAW, false);

    private final ChangeEvent event;
    private final boolean carriesContent;

    ChangeCommandKind(ChangeEvent event, boolean carriesContent) {
        this.event = event;
        this.carriesContent = carriesContent;
    }

    /**
     * Returns the event that the command is in the chart of a change.
     *
     * @return the event
     */
    public ChangeEvent event() {
        return event;
    }

    /**
     * Tells whether the command brings the rows of the table.
     *
     * @return whether it does
     */
    public boolean carriesContent() {
        return carriesContent;
    }
}
