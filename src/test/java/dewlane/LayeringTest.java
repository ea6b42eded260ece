package dewlane;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.GeneralCodingRules.ACCESS_STANDARD_STREAMS;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.List;
import java.util.concurrent.Executor;

/** Checks the allowed dependencies between layers, packages and libraries. */
@AnalyzeClasses(packages = "dewlane", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {
    @ArchTest
    static final ArchRule LAYERS_USE_ONLY_LOWER_LAYERS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("cli")
            .definedBy("dewlane.cli..")
            .layer("io")
            .definedBy("dewlane.io..")
            .layer("wire")
            .definedBy("dewlane.wire..")
            .layer("core")
            .definedBy("dewlane.core..")
            .whereLayer("cli")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("io")
            .mayOnlyBeAccessedByLayers("cli")
            .whereLayer("wire")
            .mayOnlyBeAccessedByLayers("cli", "io")
            .whereLayer("core")
            .mayOnlyBeAccessedByLayers("cli", "io", "wire");

    @ArchTest
    static final ArchRule NO_CYCLES_BETWEEN_PACKAGES =
            slices().matching("dewlane.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule NO_CYCLES_BETWEEN_SUBSYSTEMS =
            slices().matching("dewlane.core.(*)..").should().beFreeOfCycles();

    /** The subsystems of the core, lowest first. Each may use only those listed before it. */
    private static final List<String> SUBSYSTEMS = List.of(
            "config",
            "model",
            "schema",
            "message",
            "store",
            "job",
            "membership",
            "fleet",
            "worker",
            "quota",
            "scheduling",
            "autoscaling",
            "admission",
            "controller");

    @ArchTest
    static final ArchRule SUBSYSTEMS_USE_ONLY_LOWER_ONES = subsystemsUseOnlyLowerOnes();

    private static ArchRule subsystemsUseOnlyLowerOnes() {
        LayeredArchitecture layers = layeredArchitecture().consideringOnlyDependenciesInLayers();
        for (String subsystem : SUBSYSTEMS) {
            layers = layers.layer(subsystem).definedBy("dewlane.core." + subsystem + "..");
        }
        for (int i = 0; i < SUBSYSTEMS.size() - 1; i++) {
            String[] higher = SUBSYSTEMS.subList(i + 1, SUBSYSTEMS.size()).toArray(String[]::new);
            layers = layers.whereLayer(SUBSYSTEMS.get(i)).mayOnlyBeAccessedByLayers(higher);
        }
        return layers.whereLayer("controller").mayNotBeAccessedByAnyLayer();
    }

    /**
     * Scheduling must not use the worker package: handling a heartbeat only records state, which the next scheduling
     * cycle reads.
     */
    @ArchTest
    static final ArchRule SCHEDULING_DOES_NOT_USE_WORKER_COMMUNICATION = noClasses()
            .that()
            .resideInAPackage("dewlane.core.scheduling..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("dewlane.core.worker..");

    @ArchTest
    static final ArchRule EVERY_CORE_CLASS_IS_IN_A_SUBSYSTEM = classes()
            .that()
            .resideInAPackage("dewlane.core..")
            .should()
            .resideInAnyPackage(
                    SUBSYSTEMS.stream().map(name -> "dewlane.core." + name).toArray(String[]::new));

    /** The core uses collections, but nothing that reads a clock, a file or a socket, starts a thread or blocks. */
    @ArchTest
    static final ArchRule CORE_IS_PURE = classes()
            .that()
            .resideInAPackage("dewlane.core..")
            .should()
            .onlyDependOnClassesThat(resideInAnyPackage(
                            "dewlane.core..",
                            "java.lang",
                            "java.lang.invoke",
                            "java.lang.runtime",
                            "java.util",
                            "java.util.function",
                            "java.util.stream",
                            "it.unimi.dsi.fastutil..",
                            "com.github.benmanes.caffeine.cache")
                    .or(type(Executor.class)));

    @ArchTest
    static final ArchRule CORE_READS_NO_CLOCK_AND_STARTS_NO_THREAD = noClasses()
            .that()
            .resideInAPackage("dewlane.core..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .accessClassesThat()
            .areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule ONLY_WIRE_USES_SERIALIZATION_LIBRARIES = noClasses()
            .that()
            .resideInAnyPackage("dewlane.core..", "dewlane.io..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("com.fasterxml.jackson..", "org.msgpack..");

    @ArchTest
    static final ArchRule ONLY_CLI_USES_STANDARD_STREAMS =
            noClasses().that().resideOutsideOfPackage("dewlane.cli..").should(ACCESS_STANDARD_STREAMS);
}
