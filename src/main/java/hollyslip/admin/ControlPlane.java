package hollyslip.admin;

import hollyslip.HostScheduler.VolumeChanged;
import hollyslip.store.StoreDirectory;
import hollyslip.store.Journal;
import hollyslip.store.StoreException;
import hollyslip.tenant.Change;
import hollyslip.tenant.ChangeSet;
import hollyslip.tenant.HostedVolume;
import hollyslip.tenant.Phase;
import hollyslip.tenant.RegistryCommandHandler;
import hollyslip.tenant.Registry;
import hollyslip.tenant.Shard;
import hollyslip.tenant.Tenant;
import hollyslip.tenant.AuditRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Control plane of the gateway, the only place where the registry changes. Commands run one after the other
 * on one thread: each is validated, recorded and applied. It is answered and carried out once its record is
 * synced; reads are answered once everything that they saw is synced. If the store cannot be written, nothing
 * changes any more, while volumes continue to be served. */
public final class ControlPlane implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);

  /** Size of the records after which a snapshot is taken, bytes. */
  private static final long SNAPSHOT_BYTES = 8 << 20;

  /** Delay before a failed step is retried, ms. */
  private static final long RETRY_MS = 500;

  private final Registry registry;
  private final RegistryCommandHandler commandHandler;
  private final Journal journal;
  private final Provisioner provisioner;
  private final int hosts;
  private final LongSupplier clock;
  private final Set<Consumer<AuditRecord>> listeners = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(r -> {
    Thread t = new Thread(r, "control");
    t.setDaemon(true);
    return t;
  });
  private CompletableFuture<Long> lastAppend = CompletableFuture.completedFuture(0L);
  private long bytesSinceSnapshot;
  private volatile boolean closing;

  /** A change to a volume that the provisioner has to carry out. */
  private record ProvisioningStep(HostedVolume volume, Tenant tenant, VolumeChanged terms) {}

  /** Opens the store and restores the registry from it.
   *
   * @param firstId
   *          first id for tenants, volumes and tasks
   * @param hosts
   *          number of gateways of the deployment
   * @param clock
   *          wall clock, ms since the Unix epoch */
  public ControlPlane(StoreDirectory directory, Collection<Shard> shards, long firstId, int hosts,
      Provisioner provisioner, LongSupplier clock) throws IOException {
    this.provisioner = provisioner;
    this.hosts = hosts;
    this.clock = clock;
    journal = new Journal(directory);
    try {
      Journal.RecoveredState recovered = journal.recovered();
      recovered.warnings().forEach(r -> LOG.atWarn().addKeyValue("remark", r).log("store.opened"));
      registry = recovered.state() == null
          ? new Registry(shards, firstId)
          : new Registry(shards, RegistryCodec.decodeSnapshot(recovered.state()));
      long sequence = recovered.sequence();
      for (byte[] record : recovered.records()) {
        registry.apply(++sequence, RegistryCodec.decodeChangeSet(record));
        bytesSinceSnapshot += record.length;
      }
      commandHandler = new RegistryCommandHandler(registry);
      LOG.atInfo()
          .addKeyValue("tenants", registry.tenantNames().size())
          .addKeyValue("volumes", registry.volumes().size())
          .addKeyValue("sequence", sequence)
          .log("store.opened");
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  /** Carries out all recorded state. The future completes when each volume is served, or the reason why it is
   * not is logged; such volumes are retried. */
  public CompletableFuture<Void> start() {
    CompletableFuture<Void> attempted = new CompletableFuture<>();
    submit(attempted, () -> {
      registry.nodes().forEach(n -> provisioner.setNodeState(n.node(), n.state()));
      List<CompletableFuture<Void>> all = new ArrayList<>();
      registry.volumes()
          .stream()
          .sorted((a, b) -> Long.compare(a.id(), b.id()))
          .forEach(v -> all.add(provision(toStep(v)).exceptionally(e -> null)));
      CompletableFuture.allOf(all.toArray(new CompletableFuture<?>[0]))
          .thenRun(() -> attempted.complete(null));
    });
    return attempted;
  }

  private ProvisioningStep toStep(HostedVolume v) {
    return new ProvisioningStep(v, registry.tenant(v.tenant()), registry.toVolumeChanged(v, hosts));
  }

  /** Executes a command on the current registry. The future completes, with the view of the registry after
   * it, once the change set is synced. A change set of null means no change and is not an error. */
  public <T> CompletableFuture<T> execute(BiFunction<RegistryCommandHandler, Long, ChangeSet> decide,
      Function<Registry, T> view) {
    return execute(decide, (r, changeSet) -> view.apply(r));
  }

  /** As above, with the change set passed to the view. */
  <T> CompletableFuture<T> execute(BiFunction<RegistryCommandHandler, Long, ChangeSet> decide,
      BiFunction<Registry, ChangeSet, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    submit(answer, () -> {
      if (journal.failure() != null) {
        throw storeFailedException();
      }
      ChangeSet changeSet = decide.apply(commandHandler, clock.getAsLong());
      if (changeSet != null) {
        record(changeSet);
      }
      completeWhenSynced(answer, view.apply(registry, changeSet));
    });
    return answer;
  }

  /** Reads from the registry. The future completes once everything that the read may have seen is synced. */
  public <T> CompletableFuture<T> read(Function<Registry, T> view) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    submit(answer, () -> completeWhenSynced(answer, view.apply(registry)));
    return answer;
  }

  private <T> void completeWhenSynced(CompletableFuture<T> answer, T value) {
    lastAppend.whenComplete((done, error) -> {
      if (error == null) {
        answer.complete(value);
      } else {
        answer.completeExceptionally(storeFailedException());
      }
    });
  }

  private static RuntimeException storeFailedException() {
    return new IllegalStateException("the store cannot be written; see the log");
  }

  private void submit(CompletableFuture<?> answer, Runnable task) {
    try {
      executor.execute(() -> {
        try {
          task.run();
        } catch (RuntimeException e) {
          answer.completeExceptionally(e);
        }
      });
    } catch (java.util.concurrent.RejectedExecutionException e) {
      answer.completeExceptionally(new IllegalStateException("the gateway is shutting down"));
    }
  }

  private void record(ChangeSet changeSet) {
    byte[] bytes = RegistryCodec.encode(changeSet);
    CompletableFuture<Long> append = journal.append(bytes);
    long sequence = journal.lastSequence();
    lastAppend = append;
    List<AuditRecord> auditRecords = new ArrayList<>();
    Consumer<AuditRecord> collect = auditRecords::add;
    registry.apply(sequence, changeSet, collect);
    List<ProvisioningStep> steps = new ArrayList<>();
    List<Change.NodeStatePut> nodes = new ArrayList<>();
    for (Change c : changeSet.changes()) {
      if (c instanceof Change.VolumePut v && v.volume().phase() != Phase.ACTIVE) {
        steps.add(toStep(v.volume()));
      } else if (c instanceof Change.NodeStatePut n) {
        nodes.add(n);
      }
    }
    CompletableFuture<Void> provisioned = new CompletableFuture<>();
    provisioned.exceptionally(e -> {
      // A step that could not be started is not retried before the next start of the gateway, so log it as an
      // error.
      LOG.atError().setCause(e).addKeyValue("target", changeSet.target()).log("volume.fault");
      return null;
    });
    append.thenRun(() -> submit(provisioned, () -> {
      steps.forEach(this::provision);
      nodes.forEach(n -> provisioner.setNodeState(n.node(), n.state()));
      auditRecords.forEach(t -> listeners.forEach(l -> l.accept(t)));
    }));
    bytesSinceSnapshot += bytes.length;
    if (bytesSinceSnapshot > SNAPSHOT_BYTES) {
      bytesSinceSnapshot = 0;
      snapshot();
    }
  }

  private CompletableFuture<Long> snapshot() {
    Registry.Snapshot snapshot = registry.snapshot();
    return journal.snapshot(journal.lastSequence(), () -> RegistryCodec.encode(snapshot));
  }

  /** Writes a snapshot of the current state. */
  public CompletableFuture<Long> takeSnapshot() {
    CompletableFuture<Long> done = new CompletableFuture<>();
    submit(done, () -> snapshot().whenComplete((n, e) -> {
      if (e == null) {
        done.complete(n);
      } else {
        done.completeExceptionally(e);
      }
    }));
    return done;
  }

  private CompletableFuture<Void> provision(ProvisioningStep step) {
    HostedVolume v = step.volume;
    return v.phase() == Phase.DRAINING
        ? recordWhenDone(provisioner.drain(v, step.tenant), step, (r, at) -> r.volumeDrained(at, v.id()))
        : recordWhenDone(provisioner.serve(v, step.tenant, step.terms), step, (r, at) -> r.volumeServed(at,
            v));
  }

  private CompletableFuture<Void> recordWhenDone(CompletableFuture<Void> done, ProvisioningStep step,
      BiFunction<RegistryCommandHandler, Long, ChangeSet> decide) {
    return done.whenComplete((ok, error) -> {
      if (closing) {
        return;
      }
      if (error == null) {
        execute(decide, r -> null);
      } else {
        LOG.atWarn()
            .addKeyValue("volume", step.volume.name())
            .addKeyValue("why", error.getMessage())
            .log("volume.step");
        executor.schedule(() -> retry(step), RETRY_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  /** Retries a step with the current state of its volume. */
  private void retry(ProvisioningStep step) {
    HostedVolume v = registry.volume(step.volume.id());
    if (v != null && !closing) {
      provision(toStep(v));
    }
  }

  /** Adds a listener that gets each new audit record once it is synced; it must not block. */
  public void addAuditListener(Consumer<AuditRecord> listener) {
    listeners.add(listener);
  }

  public void removeAuditListener(Consumer<AuditRecord> listener) {
    listeners.remove(listener);
  }

  /** Returns the error after which nothing can be changed any more, or null. */
  public Throwable storeFailure() {
    return journal.failure();
  }

  Provisioner provisioner() {
    return provisioner;
  }

  /** Closes the control plane; everything recorded is synced. */
  @Override
  public void close() {
    closing = true;
    executor.shutdown();
    try {
      executor.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try {
      journal.close();
    } catch (StoreException e) {
      LOG.atError().setCause(e).log("store.close");
    }
  }
}
