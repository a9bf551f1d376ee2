package hollyslip.front.vhost;

import hollyslip.engine.RequestIntake;
import hollyslip.front.sys.Linux;
import hollyslip.volume.Volume;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens on one Unix socket a volume and makes a {@link Device} of each connection of a user who may. */
public final class VhostServer {
  private static final Logger LOG = LoggerFactory.getLogger(VhostServer.class);

  /** Clients of one volume at a time. */
  private static final int MAX_DEVICES = 64;

  /** Anybody who may open the socket. */
  public static final LongPredicate ANYBODY = user -> true;

  private final RequestIntake engine;
  private final Acceptor acceptor;
  private final Path path;
  private final String volume;
  private final int acceptorTag;
  private final Set<Device> devices = ConcurrentHashMap.newKeySet();
  private volatile LongPredicate allowedUsers;
  private volatile boolean closing;

  /** @param path
   *          of the socket; a file left there is replaced
   * @param allowedUsers
   *          which users may connect */
  public VhostServer(RequestIntake engine, Acceptor acceptor, String volume, Path path,
      LongPredicate allowedUsers)
      throws IOException {
    this.engine = engine;
    this.acceptor = acceptor;
    this.volume = volume;
    this.path = path;
    this.allowedUsers = allowedUsers;
    int socket = Linux.listen(path);
    try {
      Linux.setNonBlocking(socket);
      acceptorTag = acceptor.add(socket, this::handleConnection);
    } catch (IOException e) {
      Linux.closeAll(socket);
      throw e;
    }
  }

  private void handleConnection(int fd) {
    Volume v = engine.volumes().get(volume);
    try {
      long user = Linux.peerUserId(fd);
      if (closing || v == null || devices.size() >= MAX_DEVICES || !allowedUsers.test(user)) {
        Linux.closeAll(fd);
        LOG.atWarn().addKeyValue("volume", volume).addKeyValue("user", user).log("device.refused");
        return;
      }
      openDevice(v, fd, user);
    } catch (IOException e) {
      Linux.closeAll(fd);
      LOG.atWarn().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.accept");
    }
  }

  private void openDevice(Volume v, int fd, long user) throws IOException {
    Device[] self = new Device[1];
    self[0] = new Device(engine, v, fd, user, () -> devices.remove(self[0]));
    devices.add(self[0]);
    Thread t = new Thread(self[0], "device-" + volume);
    t.setDaemon(true);
    t.start();
    LOG.atInfo()
        .addKeyValue("volume", volume)
        .addKeyValue("tenant", v.tenant())
        .addKeyValue("user", user)
        .log("device.opened");
    if (!allowedUsers.test(user)) {
      self[0].stop();
    }
  }

  /** Which users may connect from now on; devices of others end. */
  public void setAllowedUsers(LongPredicate next) {
    allowedUsers = next;
    devices.stream().filter(d -> !next.test(d.userId())).forEach(Device::stop);
  }

  /** The volume has another size: clients that listen for it are told. */
  public void resize(Volume v) {
    devices.forEach(d -> d.resize(v));
  }

  /** Where it listens. */
  public Path path() {
    return path;
  }

  /** Devices that have not ended. */
  public int deviceCount() {
    return devices.size();
  }

  /** Takes no more connections and ends the devices. Answers must have been given before. */
  public void close() {
    shutDown(Device::stop);
  }

  /** As {@link #close}, when the volume is gone: what clients have put into their rings is refused. */
  public void retire() {
    shutDown(Device::retire);
  }

  private void shutDown(Consumer<Device> how) {
    closing = true;
    acceptor.remove(acceptorTag);
    try {
      Files.deleteIfExists(path);
    } catch (IOException e) {
      LOG.atDebug().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.close");
    }
    devices.forEach(how);
  }
}
