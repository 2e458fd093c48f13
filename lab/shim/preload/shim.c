// Library that is loaded into a process of the program with LD_PRELOAD. It adds an offset to the wall clock, which the
// parent process may change at any time, and lets the parent process decide whether accept, socket and connect fail. It
// affects only the process that it is loaded into.
#define _GNU_SOURCE
#include <elf.h>
#include <errno.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum { clock_fd = 4, socket_fd = 5 }; // inherited file descriptors; see Library.Prepare in shim.go

#if defined(__x86_64__)
#define CALL_ARCHITECTURE AUDIT_ARCH_X86_64
#define VDSO_PREFIX "__vdso_"
#elif defined(__aarch64__)
#define CALL_ARCHITECTURE AUDIT_ARCH_AARCH64
#define VDSO_PREFIX "__kernel_"
#else
#error "the shim has no branch for this architecture"
#endif

static volatile int64_t *offset_ns; // offset of the wall clock, shared with the parent process

// kernel_clock_gettime calls the kernel directly, without the vDSO, errno or thread-local storage, because the Go
// runtime calls the clock functions on its own stacks.
static long kernel_clock_gettime(clockid_t id, struct timespec *ts) {
#if defined(__x86_64__)
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(SYS_clock_gettime), "D"((long)id), "S"(ts) : "rcx", "r11", "memory");
	return result;
#else
	register long number __asm__("x8") = SYS_clock_gettime;
	register long result __asm__("x0") = id;
	register struct timespec *time __asm__("x1") = ts;
	__asm__ volatile("svc #0" : "+r"(result) : "r"(number), "r"(time) : "memory");
	return result;
#endif
}

// shifted_clock_gettime is clock_gettime with the offset added to the wall clock.
static int shifted_clock_gettime(clockid_t id, struct timespec *ts) {
	long result = kernel_clock_gettime(id, ts);
	if (result != 0 || (id != CLOCK_REALTIME && id != CLOCK_REALTIME_COARSE))
		return result;
	int64_t ns = (int64_t)ts->tv_sec * 1000000000 + ts->tv_nsec + *offset_ns;
	ts->tv_sec = ns / 1000000000;
	ts->tv_nsec = ns % 1000000000;
	return 0;
}

// shifted_gettimeofday is gettimeofday with the offset added.
static int shifted_gettimeofday(struct timeval *tv, void *zone) {
	(void)zone;
	struct timespec now;
	shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (tv) {
		tv->tv_sec = now.tv_sec;
		tv->tv_usec = now.tv_nsec / 1000;
	}
	return 0;
}

// shifted_time is time with the offset added.
static time_t shifted_time(time_t *seconds) {
	struct timespec now;
	shifted_clock_gettime(CLOCK_REALTIME, &now);
	if (seconds)
		*seconds = now.tv_sec;
	return now.tv_sec;
}

// write_jump overwrites the code at from with a jump to the address to.
static void write_jump(void *from, void *to) {
#if defined(__x86_64__)
	unsigned char code[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; // mov rax, to; jmp rax
	memcpy(code + 2, &to, sizeof to);
	memcpy(from, code, sizeof code);
#else
	uint32_t code[4] = {0x58000050, 0xd61f0200}; // ldr x16, 8 bytes ahead; br x16; the address to
	memcpy(code + 2, &to, sizeof to);
	memcpy(from, code, sizeof code);
	__builtin___clear_cache((char *)from, (char *)from + sizeof code);
#endif
}

// patch_clocks redirects the clock functions of this process's vDSO to the shifted functions above. It returns -1 on
// failure.
static int patch_clocks(void) {
	char *base = (char *)getauxval(AT_SYSINFO_EHDR);
	if (!base)
		return -1;
	Elf64_Ehdr *header = (Elf64_Ehdr *)base;
	Elf64_Phdr *segments = (Elf64_Phdr *)(base + header->e_phoff);
	Elf64_Dyn *dynamic = NULL;
	char *load_base = NULL; // to which virtual addresses in the vDSO are relative
	size_t size = 0;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segments[i].p_type == PT_LOAD) {
			load_base = base - segments[i].p_vaddr + segments[i].p_offset;
			size = segments[i].p_memsz;
		} else if (segments[i].p_type == PT_DYNAMIC) {
			dynamic = (Elf64_Dyn *)(base + segments[i].p_offset);
		}
	}
	Elf64_Sym *symbols = NULL;
	char *names = NULL;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		if (dynamic->d_tag == DT_SYMTAB)
			symbols = (Elf64_Sym *)(load_base + dynamic->d_un.d_ptr);
		else if (dynamic->d_tag == DT_STRTAB)
			names = load_base + dynamic->d_un.d_ptr;
	}
	if (!symbols || !names)
		return -1;
	size_t page_aligned_size = (size + 4095) & ~(size_t)4095;
	if (mprotect(base, page_aligned_size, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		return -1;
	int patched = 0;
	for (Elf64_Sym *s = symbols; (char *)s < names; s++) { // the string table follows the symbol table
		char *name = names + s->st_name;
		if (!strcmp(name, VDSO_PREFIX "clock_gettime")) {
			write_jump(load_base + s->st_value, shifted_clock_gettime);
			patched = 1;
		} else if (!strcmp(name, VDSO_PREFIX "gettimeofday")) {
			write_jump(load_base + s->st_value, shifted_gettimeofday);
		} else if (!strcmp(name, VDSO_PREFIX "time")) {
			write_jump(load_base + s->st_value, shifted_time);
		}
	}
	mprotect(base, page_aligned_size, PROT_READ | PROT_EXEC);
	return patched ? 0 : -1;
}

// install_call_filter installs a seccomp filter that reports accept4, socket and connect calls to a listener, and sends
// the descriptor of the listener to the parent process. It returns -1 on failure.
static int install_call_filter(void) {
	struct sock_filter filter[] = {
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, arch)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, CALL_ARCHITECTURE, 0, 5),
		BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr)),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_accept4, 2, 0),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 1, 0),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_connect, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_USER_NOTIF),
		BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
	};
	struct sock_fprog program = {sizeof filter / sizeof filter[0], filter};
	if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0)
		return -1;
	int listener = syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_NEW_LISTENER, &program);
	if (listener < 0)
		return -1;
	char byte = 0, control[CMSG_SPACE(sizeof listener)] = {0};
	struct iovec data = {&byte, 1};
	struct msghdr message = {.msg_iov = &data, .msg_iovlen = 1, .msg_control = control, .msg_controllen = sizeof control};
	struct cmsghdr *control_header = CMSG_FIRSTHDR(&message);
	control_header->cmsg_level = SOL_SOCKET;
	control_header->cmsg_type = SCM_RIGHTS;
	control_header->cmsg_len = CMSG_LEN(sizeof listener);
	memcpy(CMSG_DATA(control_header), &listener, sizeof listener);
	if (sendmsg(socket_fd, &message, 0) != 1)
		return -1;
	close(listener);
	return 0;
}

// load runs when the library is loaded, before main. It ends the process if the shim cannot be set up.
__attribute__((constructor)) static void load(void) {
	static const char error_message[] = "the shim cannot be loaded\n";
	void *mapping = mmap(NULL, sizeof *offset_ns, PROT_READ, MAP_SHARED, clock_fd, 0);
	if (mapping != MAP_FAILED)
		offset_ns = mapping;
	if (!offset_ns || patch_clocks() != 0 || install_call_filter() != 0) {
		if (write(2, error_message, sizeof error_message - 1) < 0)
			_exit(126);
		_exit(127);
	}
	close(clock_fd);
	close(socket_fd);
	unsetenv("LD_PRELOAD");
}
