package org.verbenamast.ctl;

import java.util.List;
import java.util.Objects;

/**
 * Why a command failed.
 *
 * @param code how the program exits
 * @param messages what is wrong, a line each
 */
public record CtlFault(ExitCode code, List<String> messages) {

    /** Checks the code and copies the list. */
    public CtlFault {
        Objects.requireNonNull(code, "code");
        messages = List.copyOf(messages);
    }

    static CtlFault shouldBeReachable(String node, String cause) {
        return new CtlFault(
                ExitCode.UNREACHABLE, List.of("node <%s> should answer but did not: %s".formatted(node, cause)));
    }

    static CtlFault shouldBeReadable(String what, String cause) {
        return new CtlFault(ExitCode.BAD_INPUT, List.of("%s should be readable: %s".formatted(what, cause)));
    }

    static CtlFault shouldBeGiven(String option) {
        return new CtlFault(
                ExitCode.BAD_INPUT, List.of("%s should be given; --help lists the options".formatted(option)));
    }

    static CtlFault shouldBeKnownCommand(String words) {
        return new CtlFault(
                ExitCode.BAD_INPUT, List.of("<%s> should be a command; --help lists them".formatted(words)));
    }

    static CtlFault shouldBeSound(List<?> faults) {
        return new CtlFault(
                ExitCode.BAD_INPUT, faults.stream().map(Object::toString).toList());
    }

    static CtlFault shouldExist(String what) {
        return new CtlFault(ExitCode.REFUSED, List.of("%s should exist".formatted(what)));
    }

    static CtlFault shouldBeAccepted(int status, String message) {
        return new CtlFault(ExitCode.REFUSED, List.of("the node answered %d: %s".formatted(status, message)));
    }
}
