package hollyslip;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

/** Dependencies between packages: they point inward only. */
class ArchitectureTest {
  private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter().withImportOption(
      ImportOption.Predefined.DO_NOT_INCLUDE_TESTS).importPackages("hollyslip");

  @Test
  void packageDependenciesPointInward() {
    layeredArchitecture().consideringOnlyDependenciesInLayers()
        .layer("scheduler")
        .definedBy("hollyslip")
        .layer("volume")
        .definedBy("hollyslip.volume")
        .layer("recovery")
        .definedBy("hollyslip.recovery")
        .layer("engine")
        .definedBy("hollyslip.engine")
        .layer("fleet")
        .definedBy("hollyslip.fleet")
        .layer("node")
        .definedBy("hollyslip.node")
        .layer("front")
        .definedBy("hollyslip.front..")
        .layer("settings")
        .definedBy("hollyslip.settings")
        .layer("admission")
        .definedBy("hollyslip.admission")
        .layer("tenant")
        .definedBy("hollyslip.tenant")
        .layer("store")
        .definedBy("hollyslip.store")
        .layer("admin")
        .definedBy("hollyslip.admin")
        .layer("standin")
        .definedBy("hollyslip.standin")
        .layer("audit")
        .definedBy("hollyslip.audit")
        .layer("load")
        .definedBy("hollyslip.load")
        .layer("emulator")
        .definedBy("hollyslip.emulator")
        .layer("gateway")
        .definedBy("hollyslip.gateway")
        .layer("platform")
        .definedBy("hollyslip.platform")
        .layer("cli")
        .definedBy("hollyslip.cli")
        .whereLayer("engine")
        .mayOnlyBeAccessedByLayers("front", "node", "gateway", "load", "emulator", "cli")
        .whereLayer("front")
        .mayOnlyBeAccessedByLayers("gateway", "load", "cli")
        .whereLayer("node")
        .mayOnlyBeAccessedByLayers("gateway", "standin", "audit", "load", "emulator", "cli")
        .whereLayer("fleet")
        .mayOnlyBeAccessedByLayers("gateway", "emulator", "cli")
        .whereLayer("settings")
        .mayOnlyBeAccessedByLayers("gateway", "load", "emulator", "cli")
        .whereLayer("standin")
        .mayOnlyBeAccessedByLayers("audit", "load", "emulator", "cli")
        .whereLayer("audit")
        .mayOnlyBeAccessedByLayers("load", "emulator", "cli")
        .whereLayer("load")
        .mayOnlyBeAccessedByLayers("emulator", "cli")
        .whereLayer("emulator")
        .mayOnlyBeAccessedByLayers("cli")
        .whereLayer("gateway")
        .mayOnlyBeAccessedByLayers("load", "cli")
        .whereLayer("platform")
        .mayOnlyBeAccessedByLayers("cli")
        .whereLayer("cli")
        .mayNotBeAccessedByAnyLayer()
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void schedulerDependsOnNoSubpackage() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage("hollyslip")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("hollyslip.*..")
        .check(PRODUCTION_CLASSES);
  }

  /** Keeps the platform process small: it depends on the scheduler only, not on the gateway or its
   * libraries. */
  @Test
  void platformDependsOnlyOnTheScheduler() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage("hollyslip.platform")
        .should()
        .dependOnClassesThat(JavaClass.Predicates.resideInAnyPackage("hollyslip.*..", "io.vertx..",
            "com.sun.jna..", "org.slf4j..", "ch.qos..", "picocli..")
            .and(DescribedPredicate.not(
                JavaClass.Predicates.resideInAPackage("hollyslip.platform"))))
        .check(PRODUCTION_CLASSES);
  }

  /** Decision code, such as the scheduler and the admission queue, does no I/O and uses no locks. */
  @Test
  void decisionCodeDoesNoIo() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAnyPackage("hollyslip.volume", "hollyslip.fleet", "hollyslip.tenant", "hollyslip.admission")
        .or()
        .haveFullyQualifiedName("hollyslip.TokenBorrowingScheduler")
        .or()
        .haveFullyQualifiedName("hollyslip.RetryBudget")
        .or()
        .haveFullyQualifiedName("hollyslip.IdleVolumes")
        .or()
        .haveFullyQualifiedName("hollyslip.TokenBucket")
        .or()
        .haveFullyQualifiedName("hollyslip.engine.RangeLocks")
        .or()
        .haveFullyQualifiedName("hollyslip.engine.AnswerAggregator")
        .or()
        .haveFullyQualifiedName("hollyslip.recovery.InflightLog")
        .or()
        .haveFullyQualifiedName("hollyslip.recovery.EpochElection")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.nio.channels..", "java.nio.file..", "java.net..",
            "java.util.concurrent.locks..")
        .check(PRODUCTION_CLASSES);
  }
}
