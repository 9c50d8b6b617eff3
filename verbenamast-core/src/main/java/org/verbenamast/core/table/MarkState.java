package org.verbenamast.core.table;

/** Whether something is in service. */
public enum MarkState {
    /** Work may be given. */
    IN(false),
    /** No work is given. */
    OUT(true);

    private final boolean removesWork;

    MarkState(boolean removesWork) {
        this.removesWork = removesWork;
    }

    /**
     * Tells whether the mark only takes work away, so that it is safe before the table service has it.
     *
     * @return whether it may take force at once
     */
    public boolean removesWork() {
        return removesWork;
    }
}
