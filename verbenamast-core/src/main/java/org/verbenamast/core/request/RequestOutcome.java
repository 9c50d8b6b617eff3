package org.verbenamast.core.request;

import java.util.List;
import java.util.Objects;

/** The outcome of a request or of one attempt. */
public sealed interface RequestOutcome {

    /**
     * A backend server executed the request and answered.
     *
     * @param status the HTTP status
     * @param headers the headers of the answer
     * @param body the complete body
     */
    record Answered(int status, List<Header> headers, Body body) implements RequestOutcome {

        /** Checks that the body is not null and copies the headers. */
        public Answered {
            headers = List.copyOf(headers);
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * No backend server executed the request.
     *
     * @param reason why the request was refused
     */
    record NotRun(NotRunReason reason) implements RequestOutcome {

        /** Checks that the reason is not null. */
        public NotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * It is unknown whether the request was executed.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(UnknownReason reason) implements RequestOutcome {

        /** Checks that the reason is not null. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
