package org.verbenamast.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenamast.core.table.Operator;
import org.verbenamast.core.table.OperatorKey;
import org.verbenamast.core.table.OperatorName;
import org.verbenamast.core.table.Operators;
import org.verbenamast.core.table.Organisation;

import static org.assertj.core.api.Assertions.assertThat;

class CtlMainTest {

    private static final OperatorKey ANI = OperatorKey.generate();
    private static final OperatorKey RAMI = OperatorKey.generate();

    @TempDir
    Path folder;

    private FakeNode node;
    private int lastId;

    @BeforeEach
    void prepare() throws IOException {
        node = new FakeNode(new Operators(List.of(operator("ani", "jawa", ANI), operator("rami", "amman", RAMI))));
        settings("ani", ANI);
        settings("rami", RAMI);
        Files.writeString(
                folder.resolve("half.csv"), TableFiles.HEADER + "\nstock,jkt,,50,40,\nstock,,stock-1,100,8,200\n");
    }

    private static Operator operator(String name, String organisation, OperatorKey key) {
        return new Operator(new OperatorName(name), new Organisation(organisation), key.publicKey());
    }

    private void settings(String name, OperatorKey key) throws IOException {
        String json = """
                {"nodes": ["127.0.0.1:25002"], "operator": "%s", "privateKey": "%s", "publicKey": "%s"}
                """.formatted(name, key.privateKey(), key.publicKey());
        Files.writeString(folder.resolve(name), json);
    }

    private String ctl(String operator, String line) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CtlMain program = new CtlMain(out, out, () -> node, () -> "2026-12-04T09:00:00Z", () -> "op-" + ++lastId);
        String[] words = (line + " --settings " + folder.resolve(operator))
                .replace("FOLDER", folder.toString())
                .split(" ");
        ExitCode code = program.run(words);
        return bytes.toString(StandardCharsets.UTF_8) + "exit " + code.code() + "\n";
    }

    private void accept(String change) {
        ctl("ani", "change approve " + change);
        ctl("rami", "change approve " + change);
    }

    @Test
    void should_print_each_step_when_a_change_is_signed_off() {
        assertThat(ctl("ani", "change propose monday --file FOLDER/half.csv --reason Monday"))
                .isEqualTo("""
                OUTCOME  SUBJECT  STATE     VERSION
                DONE     monday   PROPOSED  0
                exit 0
                """);
        assertThat(ctl("ani", "change approve monday")).isEqualTo("""
                OUTCOME  SUBJECT  STATE          VERSION
                DONE     monday   SIGNED_BY_ONE  0
                exit 0
                """);
        assertThat(ctl("ani", "change approve monday")).isEqualTo("""
                OUTCOME  SUBJECT  STATE          VERSION
                REFUSED  monday   SIGNED_BY_ONE  0
                verbenamast-ctl: the other organisation should sign off: <jawa> has signed this content already
                exit 1
                """);
        assertThat(ctl("rami", "change approve monday")).isEqualTo("""
                OUTCOME  SUBJECT  STATE     VERSION
                DONE     monday   ACCEPTED  1
                exit 0
                """);
        assertThat(ctl("ani", "table show")).isEqualTo("""
                SERVICE  ZONE  SERVER   WEIGHT  CONCURRENCY  RATE
                stock    jkt            50      40           unlimited
                stock          stock-1  100     8            200
                version 1
                exit 0
                """);
        assertThat(ctl("ani", "table export")).isEqualTo("""
                service,zone,server,weight,concurrency,rate
                stock,jkt,,50,40,unlimited
                stock,,stock-1,100,8,200
                exit 0
                """);
        assertThat(ctl("ani", "change list")).isEqualTo("""
                CHANGE  STATE     BASE  HASH          AUTHOR  SIGNED BY    REASON
                monday  ACCEPTED  0     74be3437ada4  ani     [ani, rami]  Monday
                exit 0
                """);
        assertThat(ctl("ani", "change show monday")).isEqualTo("""
                STEP     BY    OF     HASH          AT                    REASON
                PROPOSE  ani   jawa   74be3437ada4  2026-12-04T09:00:00Z  Monday
                APPROVE  ani   jawa   74be3437ada4  2026-12-04T09:00:00Z
                APPROVE  rami  amman  74be3437ada4  2026-12-04T09:00:00Z
                state ACCEPTED, base 0
                service,zone,server,weight,concurrency,rate
                stock,jkt,,50,40,unlimited
                stock,,stock-1,100,8,200
                exit 0
                """);
    }

    @Test
    void should_list_and_compare_versions_when_more_were_accepted() {
        ctl("ani", "change propose monday --file FOLDER/half.csv --reason Monday");
        accept("monday");
        assertThat(ctl("rami", "table edit tuesday --set stock/jkt/,100,40, --reason Tuesday"))
                .isEqualTo("""
                OUTCOME  SUBJECT  STATE     VERSION
                DONE     tuesday  PROPOSED  1
                exit 0
                """);
        accept("tuesday");
        assertThat(ctl("ani", "table log")).isEqualTo("""
                VERSION  CHANGE   HASH          AUTHOR  SIGNED BY                     AT                    REASON
                2        tuesday  f12bfd1585dc  rami    [ani of jawa, rami of amman]  2026-12-04T09:00:00Z  Tuesday
                1        monday   74be3437ada4  ani     [ani of jawa, rami of amman]  2026-12-04T09:00:00Z  Monday
                exit 0
                """);
        assertThat(ctl("ani", "table diff 1 2")).isEqualTo("""
                   SERVICE  ZONE  SERVER  WEIGHT  CONCURRENCY  RATE
                -  stock    jkt           50      40           unlimited
                +  stock    jkt           100     40           unlimited
                exit 0
                """);
        assertThat(ctl("ani", "table diff 1 9")).isEqualTo("""
                verbenamast-ctl: version <9> should exist
                exit 1
                """);
    }

    @Test
    void should_end_a_change_when_it_is_withdrawn_refused_or_edited() {
        ctl("ani", "change propose c1 --file FOLDER/half.csv");
        assertThat(ctl("rami", "change withdraw c1")).isEqualTo("""
                OUTCOME  SUBJECT  STATE     VERSION
                REFUSED  c1       PROPOSED  0
                verbenamast-ctl: the command should come from the author's organisation but came from <amman>
                exit 1
                """);
        assertThat(ctl("rami", "change refuse c1 --reason no")).isEqualTo("""
                OUTCOME  SUBJECT  STATE    VERSION
                DONE     c1       REFUSED  0
                exit 0
                """);
        ctl("ani", "change propose c2 --file FOLDER/half.csv");
        assertThat(ctl("ani", "change edit c2 --file FOLDER/half.csv")).isEqualTo("""
                OUTCOME  SUBJECT  STATE     VERSION
                DONE     c2       PROPOSED  0
                exit 0
                """);
        assertThat(ctl("ani", "change withdraw c2")).isEqualTo("""
                OUTCOME  SUBJECT  STATE      VERSION
                DONE     c2       WITHDRAWN  0
                exit 0
                """);
        assertThat(ctl("ani", "change approve c3")).isEqualTo("""
                verbenamast-ctl: change <c3> should exist
                exit 1
                """);
    }

    @Test
    void should_name_row_and_column_when_a_file_has_faults() throws IOException {
        Files.writeString(
                folder.resolve("bad.csv"),
                TableFiles.HEADER + "\nstock,,,-1,40,\nstock,jkt,,9999999999,x,-5\nstock,jkt\n");
        assertThat(ctl("ani", "table import --file FOLDER/bad.csv")).isEqualTo("""
                verbenamast-ctl: row 1, column weight: found <-1>, wanted a whole number between 0 and 1000
                verbenamast-ctl: row 2, column weight: found <9999999999>, wanted a whole number between 0 and 1000
                verbenamast-ctl: row 2, column concurrency: found <x>, wanted \
                a whole number between 0 and 1000000000, or nothing for no limit
                verbenamast-ctl: row 2, column rate: found <-5>, wanted \
                a whole number between 0 and 1000000000, or nothing for no limit
                verbenamast-ctl: row 3, column (all): found <2 columns>, wanted \
                6 columns: service,zone,server,weight,concurrency,rate
                exit 2
                """);
        Files.writeString(folder.resolve("odd.csv"), TableFiles.HEADER + "\nstok,jogja,,50,40,\n");
        assertThat(ctl("ani", "table import c1 --file FOLDER/odd.csv")).isEqualTo("""
                OUTCOME  SUBJECT  STATE  VERSION
                REFUSED  c1       -      0
                verbenamast-ctl: the rows should have no faults but have <2>
                verbenamast-ctl: row 1, column service: found <stok>, wanted one of [stock]
                verbenamast-ctl: row 1, column zone: found <jogja>, wanted one of [bdg, jkt]
                exit 1
                """);
        Files.writeString(folder.resolve("odd.json"), "{\"entries\": [{\"scope\": \"stock\"}]}");
        assertThat(ctl("ani", "table import c1 --file FOLDER/odd.json")).endsWith("exit 2\n");
        assertThat(ctl("ani", "table show")).isEqualTo("""
                SERVICE  ZONE  SERVER  WEIGHT  CONCURRENCY  RATE
                version 0
                exit 0
                """);
    }

    @Test
    void should_report_durability_when_a_zone_is_taken_out() {
        node.storeDown = true;
        assertThat(ctl("rami", "zone out jkt --reason cabling")).isEqualTo("""
                OUTCOME               SUBJECT   STATE  VERSION
                IN_FORCE_NOT_DURABLE  zone.jkt  OUT    1
                exit 0
                """);
        assertThat(ctl("rami", "status")).isEqualTo("""
                MEMBER     SERVICE  ZONE  STATUS  PEER
                stock-1~1  stock    jkt   ACTIVE  127.0.0.1:25003
                zone.jkt is OUT, mark 1 by rami (in force, not yet durable)
                this node: joined true, stopping false, owns 4 slices, runs 0, table version 0
                exit 0
                """);
        node.storeDown = false;
        node.pause(3_000);
        assertThat(ctl("ani", "zone in jkt")).isEqualTo("""
                OUTCOME  SUBJECT   STATE  VERSION
                DONE     zone.jkt  IN     2
                exit 0
                """);
        assertThat(ctl("ani", "server out stock-1")).isEqualTo("""
                OUTCOME  SUBJECT         STATE  VERSION
                DONE     server.stock-1  OUT    1
                exit 0
                """);
        assertThat(ctl("ani", "server in stock-1")).isEqualTo("""
                OUTCOME  SUBJECT         STATE  VERSION
                DONE     server.stock-1  IN     2
                exit 0
                """);
        assertThat(ctl("ani", "zone out jogja")).isEqualTo("""
                OUTCOME  SUBJECT     STATE  VERSION
                REFUSED  zone.jogja  IN     0
                verbenamast-ctl: zone.jogja should be known to the fleet
                exit 1
                """);
        assertThat(ctl("ani", "watch --seconds 2 --json")).isEqualTo("""
                {"joined":true,"stopping":false,"slicesOwned":4,"running":0,"tableVersion":0,\
                "members":[{"member":"stock-1~1","service":"stock","zone":"jkt",\
                "status":"ACTIVE","peer":"127.0.0.1:25003"}]}
                {"joined":true,"stopping":false,"slicesOwned":4,"running":0,"tableVersion":0,\
                "members":[{"member":"stock-1~1","service":"stock","zone":"jkt",\
                "status":"ACTIVE","peer":"127.0.0.1:25003"}]}
                exit 0
                """);
    }

    @Test
    void should_explain_when_asked_about_owners_and_decisions() {
        assertThat(ctl("ani", "owners key-1")).isEqualTo("""
                SLICE    OWNER      EPOCH
                stock#2  stock-1~1  1
                exit 0
                """);
        ctl("rami", "server out stock-1");
        assertThat(ctl("ani", "why server.stock-1")).contains("NEW").endsWith("exit 0\n");
        assertThat(ctl("ani", "why nothing")).endsWith("""
                NODE  SECOND  CHART  SUBJECT  EVENT  GUARD  FROM  TO
                verbenamast-ctl: a recorded decision about <nothing> should exist
                exit 1
                """);
    }

    @Test
    void should_print_charts_when_asked_for_each_format() {
        assertThat(ctl("ani", "charts")).contains("mark: An operator's mark").endsWith("exit 0\n");
        assertThat(ctl("ani", "charts store-call")).isEqualTo("""
                store-call: One request to the table service with all its attempts, up to the one answer.
                READY: The call is not sent yet.
                  START -> SENT
                SENT: The answer to an attempt is awaited.
                  REPLIED [FAILED_AND_MAY_RETRY] -> BACKING_OFF
                  REPLIED [FAILED] -> DONE
                  REPLIED [SHOWS_OWN_WRITE] -> DONE
                  REPLIED -> DONE
                  TIMED_OUT [MAY_RETRY] -> BACKING_OFF
                  TIMED_OUT -> DONE
                BACKING_OFF: The attempt failed; the next one follows after a pause.
                  BACKOFF_ENDED [IN_DOUBT] -> READING_BACK
                  BACKOFF_ENDED -> SENT
                READING_BACK: A row shows whether an earlier attempt of the transaction has taken effect.
                  REPLIED [FAILED_AND_MAY_RETRY] -> BACKING_OFF
                  REPLIED [FAILED] -> DONE
                  REPLIED [SHOWS_OWN_WRITE] -> DONE
                  REPLIED [SHOWS_NO_CHANGE] -> SENT
                  REPLIED -> DONE
                  TIMED_OUT [MAY_RETRY] -> BACKING_OFF
                  TIMED_OUT -> DONE
                DONE (final): Whoever asked has the answer.
                exit 0
                """);
        assertThat(ctl("ani", "charts store-call --format dot")).contains("READY -> SENT [label=\"START\"];");
        assertThat(ctl("ani", "charts store-call --format mermaid")).contains("READY --> SENT : START");
        assertThat(ctl("ani", "charts nothing")).endsWith("exit 1\n");
    }

    @Test
    void should_know_each_chart_when_charts_are_listed() throws IOException {
        Path charts = Path.of("..", "verbenamast-core", "src", "main", "resources", "charts");
        try (Stream<Path> files = Files.list(charts)) {
            assertThat(files.map(file -> file.getFileName().toString()))
                    .containsExactlyInAnyOrderElementsOf(ChartCommands.NAMES.stream()
                            .map(name -> name + ".json")
                            .toList());
        }
    }

    @Test
    void should_exit_with_its_code_when_the_command_line_or_the_node_fails() {
        assertThat(ctl("ani", "tables show")).isEqualTo("""
                verbenamast-ctl: <tables show> should be a command; --help lists them
                exit 2
                """);
        assertThat(ctl("ani", "table import")).isEqualTo("""
                verbenamast-ctl: --file should be given; --help lists the options
                exit 2
                """);
        assertThat(ctl("ani", "--help")).contains("zone out ZONE").endsWith("exit 0\n");
        assertThat(ctl("ani", "keygen")).contains("\"publicKey\"").endsWith("exit 0\n");
        node.reachable = false;
        assertThat(ctl("ani", "status")).isEqualTo("""
                verbenamast-ctl: node <127.0.0.1:25002> should answer but did not: connection refused
                exit 3
                """);
    }
}
