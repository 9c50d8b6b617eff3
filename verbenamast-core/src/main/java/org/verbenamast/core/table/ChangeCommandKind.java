package org.verbenamast.core.table;

/** The kinds of commands on a change of the table. */
public enum ChangeCommandKind {
    /** Proposes a new change. */
    PROPOSE(ChangeEvent.PROPOSE, true),
    /** Replaces the content of a change and drops its approvals. */
    EDIT(ChangeEvent.EDIT, true),
    /** Approves the content of a change. */
    APPROVE(ChangeEvent.APPROVE, false),
    /** Refuses a change proposed by the other organisation. */
    REFUSE(ChangeEvent.REFUSE, false),
    /** Withdraws a change proposed by the operator's own organisation. */
    WITHDRAW(ChangeEvent.WITHDRAW, false);

    private final ChangeEvent event;
    private final boolean carriesContent;

    ChangeCommandKind(ChangeEvent event, boolean carriesContent) {
        this.event = event;
        this.carriesContent = carriesContent;
    }

    /**
     * Returns the event that the command triggers in the chart {@code change}.
     *
     * @return the event of the chart
     */
    public ChangeEvent event() {
        return event;
    }

    /**
     * Returns whether the command carries rows for the table.
     *
     * @return true for a proposal and an edit
     */
    public boolean carriesContent() {
        return carriesContent;
    }
}
