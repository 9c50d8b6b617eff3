package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the machine beside an instance freezes while long answers are on their way through it. The nodes that took the
 * requests are in touch and must end them at their route's timeoutMs.
 */
final class Streams {

    private static final int ANSWER_BYTES = 540_000;
    private static final int PIECES = 60;
    private static final int PIECE_MILLIS = 12;
    private static final int TIMEOUT_MILLIS = 1_200;
    private static final int BUDGET_MILLIS = 2_500;
    private static final int LATE_MILLIS = TIMEOUT_MILLIS + 500;
    private static final int FREEZE_MILLIS = 5_000;
    private static final int ROUNDS = 3;
    private static final int REQUESTS = 10;

    private Streams() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        Instance.Work work = (instance, head, body) -> {
            Thread.sleep(72);
            byte[] answer = new byte[ANSWER_BYTES];
            instance.log("ran " + head.field("X-Verbenamast-Attempt-Id") + ", answers with " + answer.length + " bytes");
            return new Instance.Answer(200, answer, false, new byte[0], PIECES, PIECE_MILLIS);
        };
        for (int i = 0; i < 2; i++) {
            fleet.add("pustaka", work);
        }
        Instance.Work other = (instance, head, body) -> Instance.Answer.ok("ok");
        for (int i = 0; i < 2; i++) {
            fleet.add("jadwal", other);
        }
        fleet.start(Manifests.downloads(TIMEOUT_MILLIS));
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                Fleet.Machine machine = fleet.machines.get(2 + i % 2);
                threads.add(Fleet.run(() -> download(fleet, machine, overdue, unanswered, whole)));
            }
            Thread.sleep(550);
            Fleet.Machine frozen = fleet.machines.get(0);
            if (Fleet.trouble()) {
                signal(frozen, "STOP");
                fleet.record.add("case", frozen.node + " freezes");
            }
            Thread.sleep(FREEZE_MILLIS);
            if (Fleet.trouble()) {
                signal(frozen, "CONT");
                fleet.record.add("case", frozen.node + " wakes");
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Thread.sleep(4_000);
        }
        String sum = "requests " + ROUNDS * REQUESTS + ", whole answers in time " + whole
                + ", without their final answer at the route's timeoutMs " + overdue
                + ", of them without it half a second later " + unanswered;
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (whole.get() < ROUNDS * REQUESTS / 4) {
            return Fleet.COULD_NOT_RUN;
        }
        return 2 * unanswered.get() > overdue.get() ? Fleet.BROKEN : Fleet.HELD;
    }

    private static void signal(Fleet.Machine machine, String name) throws Exception {
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + machine.process.pid())
                .start()
                .waitFor();
    }

    /** Downloads an answer; the request ends with the whole answer, an answer of the node's own or a closed connection. */
    private static void download(
            Fleet fleet, Fleet.Machine machine, AtomicInteger overdue, AtomicInteger unanswered, AtomicInteger whole)
            throws Exception {
        String id = Requester.newId();
        String[] parts = machine.callers.split(":");
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
            long sentAt = System.nanoTime();
            socket.getOutputStream()
                    .write(("GET /manual/7 HTTP/1.1\r\nHost: " + Manifests.HOST + "\r\nX-Verbenamast-Attempt-Id: " + id
                                    + "\r\nX-Verbenamast-Deadline-Ms: " + BUDGET_MILLIS + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String end;
            long got = 0;
            try {
                socket.setSoTimeout(BUDGET_MILLIS);
                Message head = Message.readHead(in);
                long length = Long.parseLong(head.field("Content-Length"));
                byte[] buffer = new byte[32_768];
                while (got < length) {
                    long left = BUDGET_MILLIS - (System.nanoTime() - sentAt) / 1_000_000;
                    socket.setSoTimeout((int) Math.max(1, left));
                    int read = left <= 0 ? -2 : in.read(buffer, 0, (int) Math.min(buffer.length, length - got));
                    if (read == -2) {
                        throw new SocketTimeoutException();
                    }
                    if (read < 0) {
                        break;
                    }
                    got += read;
                }
                end = got == length ? head.first : head.first + ", then closed";
            } catch (SocketTimeoutException e) {
                end = "nothing more; the requester leaves at its time budget";
            } catch (java.io.IOException e) {
                end = "closed: " + e.getMessage();
            }
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            overdue.addAndGet(millis >= TIMEOUT_MILLIS ? 1 : 0);
            unanswered.addAndGet(millis >= LATE_MILLIS ? 1 : 0);
            whole.addAndGet(got == ANSWER_BYTES && millis < TIMEOUT_MILLIS ? 1 : 0);
            fleet.record.add("requester", "sent " + id + " at " + machine.node + ", ended after " + millis + " ms with "
                    + got + " bytes: " + end
                    + (millis >= LATE_MILLIS ? ", LATER THAN HALF A SECOND AFTER timeoutMs" : ""));
        }
    }
}
