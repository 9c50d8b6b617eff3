package review;

import java.nio.file.Path;

/** Runs one case: {@code Main CASE RECORD}. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
public final class Main {

    private static final int LONGEST_MILLIS = 115_000;

    private Main() {}

    /** A case; returns whether the rule held. */
    @FunctionalInterface
    interface Case {
        boolean holds(Recorder record, boolean trouble) throws Exception;
    }

    private static Case find(String name) {
        return switch (name) {
            case "cold-again" -> new ColdAgain()::holds;
            case "foreign-check-in" -> new ForeignCheckIn()::holds;
            case "uploads" -> new Uploads()::holds;
            case "left-restart" -> new LeftRestart()::holds;
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Threads.start(() -> {
            Threads.sleep(LONGEST_MILLIS);
            System.err.println("the case took too long");
            ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly);
            Runtime.getRuntime().halt(2);
        });
        int status;
        try (Recorder record = new Recorder(Path.of(args[1]))) {
            record.write("case %s, disruption: %s", args[0], trouble ? "yes" : "no");
            try {
                status = find(args[0]).holds(record, trouble) ? 0 : 1;
            } catch (Exception e) {
                record.write("the case couldn't run: %s", e);
                e.printStackTrace();
                status = 2;
            }
            record.write("exit status %d", status);
        }
        ProcessHandle.current().children().forEach(ProcessHandle::destroyForcibly);
        System.exit(status);
    }
}
