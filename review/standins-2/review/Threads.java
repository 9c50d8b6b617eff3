package review;

/** Daemon threads of the stand-ins. */
final class Threads {

    /** A task that may fail when a socket is closed. */
    @FunctionalInterface
    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer or the case has closed the connection; what that means is recorded by the other side.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
