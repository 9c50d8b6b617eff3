package org.verbenamast.relay;

/** The exit codes of the process. */
enum ExitCode {
    /** The node stopped on request, or the command line asked only for output. */
    OK(0),
    /** The node failed while running. */
    FAILED(1),
    /** The command line or the settings file is invalid. */
    BAD_INPUT(2);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
