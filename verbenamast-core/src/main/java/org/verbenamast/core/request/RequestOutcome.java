package org.verbenamast.core.request;

import java.util.List;
import java.util.Objects;

/** How a request ended. */
public sealed interface RequestOutcome {

    /**
     * A backend server answered.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the whole body
     */
    record Answered(int status, List<Header> headers, Body body) implements RequestOutcome {

        /** Checks the body and copies the list. */
        public Answered {
            headers = List.copyOf(headers);
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * No backend server ran the request.
     *
     * @param reason why
     */
    record NotRun(NotRunReason reason) implements RequestOutcome {

        /** Checks the reason. */
        public NotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Nobody can tell whether the request ran.
     *
     * @param reason why
     */
    record Unknown(UnknownReason reason) implements RequestOutcome {

        /** Checks the reason. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
