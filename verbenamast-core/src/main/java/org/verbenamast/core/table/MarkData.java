package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of a mark until the table service stores it.
 *
 * @param mark the mark; null before the first event
 * @param callId the id of the operator's call that waits for the answer, or {@link #NO_CALL}
 * @param submittedLocally whether an operator submitted the mark to this node; otherwise another member pushed it
 * @param controller calls the table service and sends to other members
 */
public record MarkData(MarkRow mark, long callId, boolean submittedLocally, MarkController controller) {

    /** The value for no waiting call. */
    public static final long NO_CALL = -1;

    /** Validates the controller. */
    public MarkData {
        Objects.requireNonNull(controller, "controller");
    }

    MarkData withoutCall() {
        return new MarkData(mark, NO_CALL, submittedLocally, controller);
    }
}
