package org.verbenamast.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.Lock;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.Action;
import org.verbenamast.core.chart.Guard;
import org.verbenamast.core.chart.TimerRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

/** The shape of the code: one loop on one thread, charts in files, records, enums with behaviour. */
class ShapeTest {

    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(
                    "org.verbenamast.core",
                    "org.verbenamast.wire",
                    "org.verbenamast.http",
                    "org.verbenamast.node",
                    "org.verbenamast.platform",
                    "org.verbenamast.relay",
                    "org.verbenamast.ctl",
                    "org.verbenamast.load");

    @Test
    void should_keep_decisions_apart_when_core_is_compiled() {
        noClasses()
                .that()
                .resideInAPackage("org.verbenamast.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.activej..", "io.netty..", "com.google.protobuf..", "java.net..", "java.nio.channels..")
                .check(PRODUCT);
    }

    @Test
    void should_read_charts_in_one_package_when_core_uses_jackson() {
        noClasses()
                .that()
                .resideInAPackage("org.verbenamast.core..")
                .and()
                .resideOutsideOfPackage("org.verbenamast.core.chart.file")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("com.fasterxml.jackson..")
                .check(PRODUCT);
    }

    @Test
    void should_read_no_clock_when_core_decides() {
        noClasses()
                .that()
                .resideInAPackage("org.verbenamast.core..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(PRODUCT);
    }

    @Test
    void should_start_no_thread_when_the_product_runs() {
        noClasses()
                .should()
                .callConstructorWhere(com.tngtech.archunit.core.domain.JavaCall.Predicates.target(
                        com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner(
                                JavaClass.Predicates.assignableTo(Thread.class))))
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Executors.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Lock.class)
                .orShould()
                .callMethod(Thread.class, "sleep", long.class)
                .check(PRODUCT);
        noClasses()
                .that()
                .resideInAPackage("org.verbenamast.core..")
                .should()
                .dependOnClassesThat()
                .areAssignableTo(Executor.class)
                .check(PRODUCT);
    }

    @Test
    void should_hold_no_monitor_when_the_product_runs() {
        methods()
                .that()
                .areDeclaredInClassesThat()
                .resideOutsideOfPackage("..generated..")
                .should()
                .notHaveModifier(JavaModifier.SYNCHRONIZED)
                .check(PRODUCT);
    }

    @Test
    void should_decide_nothing_when_the_platform_is_translated() {
        noClasses()
                .that()
                .resideInAPackage("org.verbenamast.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.verbenamast.core.chart..",
                        "org.verbenamast.core.effect..",
                        "org.verbenamast.core.entry..",
                        "org.verbenamast.core.admission..",
                        "org.verbenamast.core.relay..",
                        "org.verbenamast.relay..",
                        "io.activej..",
                        "io.netty..")
                .check(PRODUCT);
    }

    @Test
    void should_know_the_platforms_names_only_there_when_sources_are_read() throws IOException {
        List<String> names = List.of("X-Verbenamast-", "/-/", "\"holdMs\"", "\"expectedRev\"", "\"coldLeftMs\"");
        for (String module : List.of("core", "wire", "http", "node", "relay", "ctl", "load")) {
            Path sources = Path.of("..", "verbenamast-" + module, "src", "main", "java");
            try (Stream<Path> files = Files.walk(sources)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    assertThat(Files.readString(file)).as(file.toString()).doesNotContain(names);
                }
            }
        }
    }

    @Test
    void should_be_enums_when_charts_name_behaviour() {
        for (Class<?> part : new Class<?>[] {Guard.class, Action.class, TimerRule.class}) {
            classes()
                    .that()
                    .implement(part)
                    .should(beEnumsOrTheirConstants())
                    .allowEmptyShould(true)
                    .check(PRODUCT);
        }
    }

    private static ArchCondition<JavaClass> beEnumsOrTheirConstants() {
        return new ArchCondition<>("be enums") {
            @Override
            public void check(JavaClass item, ConditionEvents events) {
                boolean constant =
                        item.getRawSuperclass().map(JavaClass::isEnum).orElse(false);
                events.add(new SimpleConditionEvent(item, item.isEnum() || constant, item.getName() + " is an enum"));
            }
        };
    }
}
