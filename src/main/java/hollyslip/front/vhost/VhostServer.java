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

/** Listens on the Unix socket of one volume and creates a {@link Device} for each connection of an allowed
 * user. */
public final class VhostServer {
  private static final Logger LOG = LoggerFactory.getLogger(VhostServer.class);

  /** Maximum number of concurrent clients of one volume. */
  private static final int MAX_DEVICES = 64;

  /** Allows every user who may open the socket. */
  public static final LongPredicate ANY_USER = user -> true;

  private final RequestIntake engine;
  private final Acceptor acceptor;
  private final Path path;
  private final String volume;
  private final int acceptorTag;
  private final Set<Device> devices = ConcurrentHashMap.newKeySet();
  private volatile LongPredicate allowedUsers;
  private volatile boolean closing;

  /** @param path
   *          path of the socket; a file left there is replaced
   * @param allowedUsers
   *          which users may connect, by user ID */
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
    Volume current = engine.volumes().get(volume);
    try {
      long user = Linux.peerUserId(fd);
      if (closing || current == null || devices.size() >= MAX_DEVICES || !allowedUsers.test(user)) {
        Linux.closeAll(fd);
        LOG.atWarn().addKeyValue("volume", volume).addKeyValue("user", user).log("device.refused");
        return;
      }
      openDevice(current, fd, user);
    } catch (IOException e) {
      Linux.closeAll(fd);
      LOG.atWarn().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.accept");
    }
  }

  private void openDevice(Volume servedVolume, int fd, long user) throws IOException {
    Device[] holder = new Device[1];
    holder[0] = new Device(engine, servedVolume, fd, user, () -> devices.remove(holder[0]));
    devices.add(holder[0]);
    Thread thread = new Thread(holder[0], "device-" + volume);
    thread.setDaemon(true);
    thread.start();
    LOG.atInfo()
        .addKeyValue("volume", volume)
        .addKeyValue("tenant", servedVolume.tenant())
        .addKeyValue("user", user)
        .log("device.opened");
    if (!allowedUsers.test(user)) {
      holder[0].stop();
    }
  }

  /** Sets which users may connect from now on; devices of other users are stopped. */
  public void setAllowedUsers(LongPredicate newAllowedUsers) {
    allowedUsers = newAllowedUsers;
    devices.stream().filter(device -> !newAllowedUsers.test(device.userId())).forEach(Device::stop);
  }

  /** Sets the volume's new size; clients that listen for configuration changes are notified. */
  public void resize(Volume newVolume) {
    devices.forEach(d -> d.resize(newVolume));
  }

  /** Path of the socket. */
  public Path path() {
    return path;
  }

  /** Number of devices that have not ended. */
  public int deviceCount() {
    return devices.size();
  }

  /** Stops accepting connections and stops the devices; all requests must have been answered before. */
  public void close() {
    shutDown(Device::stop);
  }

  /** Like {@link #close}, when the volume was removed: requests that clients have put into their rings are
   * refused. */
  public void retire() {
    shutDown(Device::retire);
  }

  private void shutDown(Consumer<Device> stopMethod) {
    closing = true;
    acceptor.remove(acceptorTag);
    try {
      Files.deleteIfExists(path);
    } catch (IOException e) {
      LOG.atDebug().addKeyValue("volume", volume).addKeyValue("why", e.getMessage()).log("vhost.close");
    }
    devices.forEach(stopMethod);
  }
}
