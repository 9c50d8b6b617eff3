package org.verbenamast.relay;

/** The codes with which the node exits. */
enum ExitCode {
    /** The node stopped as asked. */
    OK(0),
    /** The node failed while running. */
    FAILED(1),
    /** The command line or the settings have faults. */
    BAD_INPUT(2);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
