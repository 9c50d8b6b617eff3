package org.verbenamast.load;

/** What a load is sent to, which decides how replies are read. */
public enum TargetKind {
    /** Nodes, which name the outcome in a header. */
    NODE {
        @Override
        LoadOutcome outcome(int status, String header) {
            return switch (String.valueOf(header)) {
                case "answered" -> LoadOutcome.ANSWERED;
                case "not-run" -> LoadOutcome.NOT_RUN;
                case "unknown" -> LoadOutcome.UNKNOWN;
                default -> LoadOutcome.FAILED;
            };
        }
    },
    /** Backend servers, without a node in between. */
    SERVER {
        @Override
        LoadOutcome outcome(int status, String header) {
            return status / HUNDRED == SUCCESS ? LoadOutcome.ANSWERED : LoadOutcome.NOT_RUN;
        }
    };

    private static final int HUNDRED = 100;
    private static final int SUCCESS = 2;

    /**
     * Reads a reply.
     *
     * @param status the HTTP status
     * @param header the header that names the outcome, or null
     * @return how the request ended
     */
    abstract LoadOutcome outcome(int status, String header);
}
