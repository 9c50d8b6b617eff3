package org.verbenamast.core.table;

/** Whether the subject of a mark is in service. */
public enum MarkState {
    /** In service: requests and slices may be assigned. */
    IN(false),
    /** Out of service: no work is assigned. */
    OUT(true);

    private final boolean removesWork;

    MarkState(boolean removesWork) {
        this.removesWork = removesWork;
    }

    /**
     * Returns whether the state only removes work, so that a mark is safe to enforce before the table service stores
     * it.
     *
     * @return whether the mark takes effect at once
     */
    public boolean removesWork() {
        return removesWork;
    }
}
